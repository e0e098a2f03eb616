#include "Tests/Services/Process.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace teaselhold::tests {

namespace {

constexpr std::chrono::seconds kWaitLimit{ 60 };
constexpr std::chrono::milliseconds kPollInterval{ 5 };

} // namespace

bool
WaitUntil(const std::function<bool()>& aCondition)
{
  const auto limit = std::chrono::steady_clock::now() + kWaitLimit;
  while (std::chrono::steady_clock::now() < limit) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return false;
}

Process::Process(const std::string& aProgram,
                 const std::vector<std::string>& aArguments,
                 const std::string& aOutput)
{
  std::vector<char*> arguments{ const_cast<char*>(aProgram.c_str()) };
  for (const auto& argument : aArguments) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions,
                                   STDOUT_FILENO,
                                   aOutput.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND,
                                   0600);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int failure = posix_spawn(
    &process_, aProgram.c_str(), &actions, nullptr, arguments.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (failure != 0) {
    throw std::runtime_error("cannot start " + aProgram);
  }
}

Process::~Process()
{
  Kill();
}

void
Process::Signal(int aSignal) const
{
  // An ended process keeps its id until it is waited for.
  if (!status_) {
    kill(process_, aSignal);
  }
}

void
Process::Kill()
{
  Signal(SIGKILL);
  if (!status_) {
    int status = 0;
    waitpid(process_, &status, 0);
    status_ = status;
  }
}

bool
Process::IsRunning()
{
  int status = 0;
  if (!status_ && waitpid(process_, &status, WNOHANG) == process_) {
    status_ = status;
  }
  return !status_;
}

std::optional<int>
Process::Wait()
{
  const bool ended = WaitUntil([this] { return !IsRunning(); });
  if (!ended || !WIFEXITED(*status_)) {
    return std::nullopt;
  }
  return WEXITSTATUS(*status_);
}

} // namespace teaselhold::tests
