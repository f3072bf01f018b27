#ifndef CARAWAYHAVEN_CLI_EXIT_CODE_H_
#define CARAWAYHAVEN_CLI_EXIT_CODE_H_

namespace carawayhaven {

/// Exit codes of all commands.
enum ExitCode : int {
  kExitOk = 0,
  /// The input has errors, was refused, or another version stands. Nothing was
  /// changed.
  kExitRefused = 1,
  /// Wrong arguments, an unreadable file or a missing variable.
  kExitUsage = 2,
  /// The proxy or the platform's store cannot be reached. Nothing was changed.
  kExitUnreachable = 3,
  /// No clear answer: the change may have taken effect.
  kExitUnknown = 4,
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_EXIT_CODE_H_
