/// Defines the command `load`.
#ifndef CROCUSWIND_CROCUSWIND_LOAD_COMMAND_H
#define CROCUSWIND_CROCUSWIND_LOAD_COMMAND_H

#include "command.h"

namespace crocuswind {

/// Adds the command to \p app; it sets \p status when it runs.
void addLoadCommand(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
