/// Defines the commands for urgent requests: `request` and `outcome`.
#ifndef CROCUSWIND_CROCUSWIND_REQUEST_COMMANDS_H
#define CROCUSWIND_CROCUSWIND_REQUEST_COMMANDS_H

#include "command.h"

namespace crocuswind {

/// Adds the commands to \p app. The command that runs sets \p status, which must outlive \p app.
void addRequestCommands(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
