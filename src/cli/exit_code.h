#ifndef CARAWAYHAVEN_CLI_EXIT_CODE_H_
#define CARAWAYHAVEN_CLI_EXIT_CODE_H_

namespace carawayhaven {

/// Exit codes shared by all commands.
enum ExitCode : int {
  kExitOk = 0,
  /// The input has errors, the request was refused, or it was based on a
  /// version that is not current. Nothing was changed.
  kExitRefused = 1,
  /// Invalid arguments, an unreadable file or a missing environment variable.
  kExitUsage = 2,
  /// The proxy or the platform's store is unreachable. Nothing was changed.
  kExitUnreachable = 3,
  /// The outcome is unknown: the change may have taken effect.
  kExitUnknown = 4,
};

}  // namespace carawayhaven

#endif  // CARAWAYHAVEN_CLI_EXIT_CODE_H_
