/// Defines the commands for batch jobs: `submit`, `job`, `jobs` and `cancel`.
#ifndef CROCUSWIND_CROCUSWIND_JOB_COMMANDS_H
#define CROCUSWIND_CROCUSWIND_JOB_COMMANDS_H

#include "command.h"

namespace crocuswind {

/// Adds the commands to \p app. The command that runs sets \p status, which must outlive \p app.
void addJobCommands(CLI::App &app, exit_status &status);

} // namespace crocuswind

#endif
