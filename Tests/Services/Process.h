#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace teaselhold::tests {

/// Waits for a state, with a generous limit that only ends a test that hangs.
/// @return false if the state was not reached.
bool
WaitUntil(const std::function<bool()>& aCondition);

/// A process that the test started; it is killed by its id at the end.
class Process
{
public:
  /// @param aOutput file that gets the standard output and error.
  Process(const std::string& aProgram,
          const std::vector<std::string>& aArguments,
          const std::string& aOutput);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  pid_t Id() const { return process_; }

  void Signal(int aSignal) const;

  /// Kills the process and waits for its end.
  void Kill();

  bool IsRunning();

  /// Waits for the end. @return the exit code, or nothing if a signal ended it
  /// or it did not end.
  std::optional<int> Wait();

private:
  pid_t process_ = 0;
  std::optional<int> status_;
};

} // namespace teaselhold::tests
