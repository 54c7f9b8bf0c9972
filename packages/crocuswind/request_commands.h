/// Defines the commands for urgent requests: `request` and `outcome`.
#ifndef CROCUSWIND_CROCUSWIND_REQUEST_COMMANDS_H
#define CROCUSWIND_CROCUSWIND_REQUEST_COMMANDS_H

#include "command.h"

namespace crocuswind {

/// Adds the commands to \p app; the one that runs sets \p status.
void addRequestCommands(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
