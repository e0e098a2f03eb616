#include "Services/teaselholdd/Logs.h"

#include "Services/teaselholdd/RepeatLimiter.h"

#include <cstdio>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

namespace teaselhold::daemon {

namespace {

constexpr std::chrono::milliseconds kRepeatInterval{ 10000 };
constexpr std::chrono::seconds kFlushInterval{ 1 };

/// Writes to standard error and leaves out equal lines.
class LimitedSink final : public spdlog::sinks::base_sink<std::mutex>
{
protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    WriteSummaries();
    // The level goes in front, so that a summary can be written with it.
    std::string line(1, static_cast<char>(aMessage.level));
    line.append(aMessage.payload.data(), aMessage.payload.size());
    if (limiter_.Admit(line, std::chrono::steady_clock::now())) {
      Write(aMessage);
    }
  }

  /// Called every second, so that a summary does not wait for the next line.
  void flush_() override { WriteSummaries(); }

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
    std::fwrite(text.data(), 1, text.size(), stderr);
  }

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
