#include "Transport/Limits/PeerLimits.h"

namespace teaselhold::transport {

const std::shared_ptr<PeerLimits>&
PeerLimits::OfProcess()
{
  static const auto limits =
    std::make_shared<PeerLimits>(kDefaultMemoryBytes, 0);
  return limits;
}

void
PeerLimits::SetHost(std::uint32_t aMemoryMegabytes,
                    std::uint32_t aMaxDescriptors)
{
  constexpr std::uint64_t kMegabyte = 1024ULL * 1024;
  if (aMemoryMegabytes > 0) {
    memory->SetLimit(aMemoryMegabytes * kMegabyte / kMemoryDivisor);
  }
  descriptors->SetDescriptors(aMaxDescriptors);
}

PeerRefusalCounts
PeerLimits::Counts() const
{
  PeerRefusalCounts counts{};
  for (std::size_t i = 0; i < counts.size(); ++i) {
    counts[i] = counts_[i];
  }
  return counts;
}

} // namespace teaselhold::transport
