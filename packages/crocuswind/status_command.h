/// Defines the command `status`.
#ifndef CROCUSWIND_CROCUSWIND_STATUS_COMMAND_H
#define CROCUSWIND_CROCUSWIND_STATUS_COMMAND_H

#include "command.h"

namespace crocuswind {

/// Adds the command to \p app. It sets \p status when it runs; \p status must outlive \p app.
void addStatusCommand(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
