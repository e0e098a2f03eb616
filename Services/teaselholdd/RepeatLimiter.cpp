#include "Services/teaselholdd/RepeatLimiter.h"

namespace teaselhold::daemon {

bool
RepeatLimiter::Admit(const std::string& aLine, Time aNow)
{
  const auto known = entries_.find(aLine);
  if (known != entries_.end()) {
    ++known->second.suppressed;
    known->second.last = aNow;
    return false;
  }
  if (entries_.size() < kMaxLines) {
    entries_.emplace(aLine, Entry{ aNow, 0, aNow });
  }
  return true;
}

std::vector<RepeatLimiter::Summary>
RepeatLimiter::TakeSummaries(Time aNow)
{
  std::vector<Summary> summaries;
  for (auto place = entries_.begin(); place != entries_.end();) {
    auto& [line, entry] = *place;
    if (aNow - entry.start < interval_) {
      ++place;
    } else if (entry.suppressed == 0) {
      place = entries_.erase(place);
    } else {
      summaries.push_back({ line, entry.suppressed, entry.last });
      entry = { aNow, 0, aNow };
      ++place;
    }
  }
  return summaries;
}

} // namespace teaselhold::daemon
