#include "Services/teaselholdd/LogWriter.h"

#include <cerrno>
#include <chrono>
#include <unistd.h>

namespace teaselhold::daemon {

namespace {

constexpr std::size_t kRingLines = 4096;
/// Lines that wait are written together, which saves calls of the system.
constexpr std::size_t kBatchBytes = std::size_t{ 64 } * 1024;
constexpr std::chrono::milliseconds kBatchTime{ 20 };
/// A blocked reader gets no more time than this at the end of the process.
constexpr std::chrono::milliseconds kEndTime{ 300 };
constexpr std::chrono::milliseconds kEndCheck{ 5 };

} // namespace

LogWriter::Shared::Shared(int aDescriptor)
  : descriptor(aDescriptor)
  , lines(kRingLines)
{
}

void
LogWriter::Shared::WriteAll(const std::string& aText) const
{
  std::size_t written = 0;
  while (written < aText.size()) {
    const auto size =
      ::write(descriptor, aText.data() + written, aText.size() - written);
    if (size < 0 && errno != EINTR) {
      // Nobody reads any more, and there is no other place to say so.
      return;
    }
    written += size > 0 ? static_cast<std::size_t>(size) : 0;
  }
}

void
LogWriter::Shared::Run()
{
  while (auto line = lines.Pop()) {
    auto text = std::move(*line);
    if (!lines.IsClosed()) {
      std::this_thread::sleep_for(kBatchTime);
    }
    while (text.size() < kBatchBytes) {
      auto next = lines.TryPop();
      if (!next) {
        break;
      }
      text += *next;
    }
    WriteAll(text);
  }
  isDone = true;
}

LogWriter::LogWriter(int aDescriptor)
  : shared_(std::make_shared<Shared>(aDescriptor))
  , thread_([shared = shared_] { shared->Run(); })
{
}

LogWriter::~LogWriter()
{
  shared_->lines.Close();
  const auto deadline = std::chrono::steady_clock::now() + kEndTime;
  while (!shared_->isDone && std::chrono::steady_clock::now() < deadline) {
    std::this_thread::sleep_for(kEndCheck);
  }
  if (shared_->isDone) {
    thread_.join();
  } else {
    thread_.detach();
  }
}

void
LogWriter::Write(std::string aLine)
{
  if (!shared_->lines.Push(std::move(aLine))) {
    ++dropped_;
  }
}

} // namespace teaselhold::daemon
