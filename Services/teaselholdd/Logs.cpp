#include "Services/teaselholdd/Logs.h"

#include "Services/teaselholdd/LogWriter.h"
#include "Services/teaselholdd/RepeatLimiter.h"

#include <array>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

namespace teaselhold::daemon {

namespace {

constexpr std::chrono::milliseconds kRepeatInterval{ 10000 };
constexpr std::chrono::seconds kFlushInterval{ 1 };

/// Lines in one second, for ordinary lines and for warnings each; the rest is
/// dropped and counted.
constexpr unsigned kMaxLinesPerSecond = 400;

/// Writes to standard output without waiting for its reader, and leaves out
/// equal lines and lines beyond the bound.
class LimitedSink final : public spdlog::sinks::base_sink<std::mutex>
{
protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    WriteSummaries();
    // The level goes in front, so that a summary can be written with it.
    std::string line(1, static_cast<char>(aMessage.level));
    line.append(aMessage.payload.data(), aMessage.payload.size());
    if (!limiter_.Admit(line, std::chrono::steady_clock::now())) {
      return;
    }
    const bool isWarning = aMessage.level >= spdlog::level::warn;
    if (++written_[isWarning ? 1 : 0] > kMaxLinesPerSecond) {
      ++dropped_;
      return;
    }
    Write(aMessage);
  }

  /// Called every second, so that a summary does not wait for the next line.
  void flush_() override
  {
    WriteSummaries();
    written_ = {};
    dropped_ += writer_.TakeDropped();
    if (dropped_ > 0) {
      Write({ "",
              spdlog::level::warn,
              "[log] Lines dropped. count=" + std::to_string(dropped_) });
      dropped_ = 0;
    }
  }

private:
  void WriteSummaries()
  {
    for (const auto& summary :
         limiter_.TakeSummaries(std::chrono::steady_clock::now())) {
      const auto level =
        static_cast<spdlog::level::level_enum>(summary.line.front());
      const auto line = summary.line.substr(1) +
                        " repeated=" + std::to_string(summary.suppressed);
      Write({ "", level, line });
    }
  }

  void Write(const spdlog::details::log_msg& aMessage)
  {
    spdlog::memory_buf_t text;
    formatter_->format(aMessage, text);
    writer_.Write({ text.data(), text.size() });
  }

  LogWriter writer_{ STDOUT_FILENO };
  std::array<unsigned, 2> written_{};
  std::uint64_t dropped_ = 0;

  RepeatLimiter limiter_{ kRepeatInterval };
};

} // namespace

void
SetUpLogs(const std::string& aLevel)
{
  auto logger =
    std::make_shared<spdlog::logger>("", std::make_shared<LimitedSink>());
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(kFlushInterval);
}

void
FinishLogs()
{
  spdlog::shutdown();
}

} // namespace teaselhold::daemon
