#include "Services/teaselholdd/LogPolicy.h"

#include <algorithm>

namespace teaselhold::daemon {

LineKind
ClassifyLine(std::string_view aLine, bool aIsWarning)
{
  const bool isRequest =
    std::ranges::any_of(kRequestParts, [&](std::string_view aPart) {
      return aLine.starts_with(aPart);
    });
  if (!isRequest) {
    return LineKind::Belief;
  }
  return aIsWarning ? LineKind::Failure : LineKind::Ordinary;
}

bool
LogPolicy::Window::Admit(unsigned aLimit, Time aNow)
{
  if (admitted == 0 || aNow - start >= std::chrono::seconds(1)) {
    start = aNow;
    admitted = 0;
  }
  if (admitted == aLimit) {
    return false;
  }
  ++admitted;
  return true;
}

bool
LogPolicy::AdmitSampled(Sampled aKind, Time aNow)
{
  const auto index = static_cast<std::size_t>(aKind);
  auto& sample = samples_[index];
  if (!sample.isSampling || sample.window.Admit(kPerSecond[index], aNow)) {
    return true;
  }
  if (sample.leftOut++ == 0) {
    sample.since = aNow;
  }
  return false;
}

bool
LogPolicy::AdmitLine(LineKind aKind, Time aNow)
{
  auto& window = kinds_[static_cast<std::size_t>(aKind)];
  if (window.Admit(kMaxPerSecond, aNow)) {
    return true;
  }
  ++dropped_;
  return false;
}

std::vector<LogPolicy::LeftOut>
LogPolicy::TakeLeftOut(Time aNow, bool aIsEnd)
{
  std::vector<LeftOut> counts;
  for (std::size_t kind = 0; kind < samples_.size(); ++kind) {
    auto& sample = samples_[kind];
    const bool isDue = aIsEnd || aNow - sample.since >= kSummaryInterval;
    if (sample.leftOut > 0 && isDue) {
      counts.push_back({ static_cast<Sampled>(kind), sample.leftOut });
      sample.leftOut = 0;
    }
  }
  return counts;
}

std::uint64_t
LogPolicy::TakeDropped()
{
  const auto dropped = dropped_;
  dropped_ = 0;
  return dropped;
}

} // namespace teaselhold::daemon
