/// Defines the commands for the configuration: `check`, `publish`, `history` and `rollback`.
#ifndef CROCUSWIND_CROCUSWIND_CONFIG_COMMANDS_H
#define CROCUSWIND_CROCUSWIND_CONFIG_COMMANDS_H

#include "command.h"

namespace crocuswind {

/// Adds the commands to \p app. The command that runs sets \p status, which must outlive \p app.
void addConfigCommands(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
