#pragma once

#include "Transport/BoundedRing.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <string>
#include <thread>

namespace teaselhold::daemon {

/// Writes log lines to a file descriptor on a thread of its own. A reader that
/// does not read never makes the process wait: lines that find the ring full
/// are dropped and counted.
class LogWriter
{
public:
  explicit LogWriter(int aDescriptor);
  ~LogWriter();
  LogWriter(const LogWriter&) = delete;
  LogWriter& operator=(const LogWriter&) = delete;

  /// Queues a line that ends with a line break. Never blocks.
  void Write(std::string aLine);

  /// Lines that were dropped since the last call.
  std::uint64_t TakeDropped() { return dropped_.exchange(0); }

private:
  /// Shared with the thread, which a blocked reader may keep alive.
  struct Shared
  {
    explicit Shared(int aDescriptor);
    void Run();
    void WriteAll(const std::string& aText) const;

    int descriptor;
    transport::BoundedRing<std::string> lines;
    std::atomic<bool> isDone = false;
  };

  std::shared_ptr<Shared> shared_;
  std::atomic<std::uint64_t> dropped_ = 0;
  std::thread thread_;
};

} // namespace teaselhold::daemon
