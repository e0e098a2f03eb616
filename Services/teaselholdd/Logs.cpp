#include "Services/teaselholdd/Logs.h"

#include "Services/teaselholdd/LogWriter.h"
#include "Services/teaselholdd/RepeatLimiter.h"

#include <array>
#include <mutex>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>
#include <unistd.h>
#include <utility>

namespace teaselhold::daemon {

namespace {

constexpr std::chrono::milliseconds kRepeatInterval{ 10000 };
constexpr std::chrono::seconds kFlushInterval{ 1 };

using Clock = std::chrono::steady_clock;

/// Introduce the counts of requests without a line, in the order of Sampled.
constexpr std::array<std::string_view, 3> kSummaries{
  "[call] Ordinary requests without a line.",
  "[delivery] Ordinary requests without a line.",
  "[delivery] Requests refused for load without a line."
};

/// Writes to standard output without waiting for its reader, and leaves out
/// equal lines and lines beyond the bounds.
class LimitedSink final : public spdlog::sinks::base_sink<std::mutex>
{
public:
  bool AdmitSampled(Sampled aKind)
  {
    const std::lock_guard lock(mutex_);
    return policy_.AdmitSampled(aKind, Clock::now());
  }

  void LogEach(Sampled aKind)
  {
    const std::lock_guard lock(mutex_);
    policy_.EndSampling(aKind);
  }

  /// Writes the counts that are not due yet.
  void Finish()
  {
    const std::lock_guard lock(mutex_);
    WriteLeftOut(true);
    WriteDropped();
  }

protected:
  void sink_it_(const spdlog::details::log_msg& aMessage) override
  {
    const bool isWarning = aMessage.level >= spdlog::level::warn;
    const std::string_view text(aMessage.payload.data(),
                                aMessage.payload.size());
    const auto kind = ClassifyLine(text, isWarning);
    const auto now = Clock::now();
    if (kind == LineKind::Belief) {
      WriteSummaries();
      // The level goes in front, so that a summary can be written with it.
      std::string line(1, static_cast<char>(aMessage.level));
      line.append(text);
      if (!limiter_.Admit(line, now)) {
        return;
      }
    }
    if (policy_.AdmitLine(kind, now)) {
      Write(aMessage);
    }
  }

  /// Called every second, so that a summary does not wait for the next line.
  void flush_() override
  {
    WriteSummaries();
    WriteLeftOut(false);
    WriteDropped();
  }

private:
  void WriteLeftOut(bool aIsEnd)
  {
    for (const auto& leftOut : policy_.TakeLeftOut(Clock::now(), aIsEnd)) {
      const auto sentence = kSummaries[static_cast<std::size_t>(leftOut.kind)];
      Write(
        { "",
          spdlog::level::info,
          std::string(sentence) + " count=" + std::to_string(leftOut.count) });
    }
  }

  void WriteDropped()
  {
    const auto dropped = policy_.TakeDropped() + writer_.TakeDropped();
    if (dropped > 0) {
      Write({ "",
              spdlog::level::warn,
              "[log] Lines dropped. count=" + std::to_string(dropped) });
    }
  }

  void WriteSummaries()
  {
    const auto now = Clock::now();
    for (const auto& summary : limiter_.TakeSummaries(now)) {
      const auto level =
        static_cast<spdlog::level::level_enum>(summary.line.front());
      const auto sinceLast =
        std::chrono::duration_cast<std::chrono::milliseconds>(now -
                                                              summary.last);
      const auto line =
        summary.line.substr(1) +
        " repeated=" + std::to_string(summary.suppressed) +
        " last_milliseconds_ago=" + std::to_string(sinceLast.count());
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
  LogPolicy policy_;
  RepeatLimiter limiter_{ kRepeatInterval };
};

/// The sink of the process's logs; nullptr before they are set up, after their
/// end, and in tests that do without.
std::shared_ptr<LimitedSink>&
Sink()
{
  static std::shared_ptr<LimitedSink> sink;
  return sink;
}

} // namespace

void
SetUpLogs(const std::string& aLevel)
{
  const auto sink = std::make_shared<LimitedSink>();
  Sink() = sink;
  auto logger = std::make_shared<spdlog::logger>("", sink);
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  logger->set_level(spdlog::level::from_str(aLevel));
  spdlog::set_default_logger(std::move(logger));
  spdlog::flush_every(kFlushInterval);
}

bool
AdmitSampledLine(Sampled aKind)
{
  const auto& sink = Sink();
  return sink == nullptr || sink->AdmitSampled(aKind);
}

void
LogEach(Sampled aKind)
{
  if (const auto& sink = Sink()) {
    sink->LogEach(aKind);
  }
}

void
FinishLogs()
{
  if (const auto sink = std::exchange(Sink(), nullptr)) {
    sink->Finish();
  }
  spdlog::shutdown();
}

} // namespace teaselhold::daemon
