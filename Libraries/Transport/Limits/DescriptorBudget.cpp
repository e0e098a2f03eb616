#include "Transport/Limits/DescriptorBudget.h"

#include <algorithm>
#include <array>

namespace teaselhold::transport {

void
DescriptorBudget::SetDescriptors(std::uint32_t aMaxDescriptors)
{
  constexpr std::uint32_t kFewest = 8;
  constexpr auto kReserved = kFileDescriptors + kOwnSockets;
  limit_ = aMaxDescriptors == 0
             ? std::numeric_limits<std::size_t>::max()
             : std::max(aMaxDescriptors, kReserved + kFewest) - kReserved;
}

DescriptorBudget::LeasePointer
DescriptorBudget::Accept()
{
  const std::size_t limit = limit_;
  const auto most = limit - limit / kOutgoingDivisor;
  if (connections_ >= most && !CloseIdle()) {
    return nullptr;
  }
  return std::make_unique<Lease>(shared_from_this(),
                                 &DescriptorBudget::connections_);
}

DescriptorBudget::LeasePointer
DescriptorBudget::Connect()
{
  if (connections_ >= limit_ && !CloseIdle()) {
    return nullptr;
  }
  return std::make_unique<Lease>(shared_from_this(),
                                 &DescriptorBudget::connections_);
}

DescriptorBudget::LeasePointer
DescriptorBudget::BeginRequest()
{
  // A request holds its own connection and may open another one.
  const std::size_t limit = limit_;
  if (requests_ >= limit / 2 - limit / kOutgoingDivisor) {
    return nullptr;
  }
  return std::make_unique<Lease>(shared_from_this(),
                                 &DescriptorBudget::requests_);
}

void
DescriptorBudget::AddCloser(Closer aCloser)
{
  const std::lock_guard lock(mutex_);
  closers_.push_back(std::move(aCloser));
}

bool
DescriptorBudget::CloseIdle()
{
  const std::lock_guard lock(mutex_);
  constexpr std::array kOrder{ IdleKind::Silent,
                               IdleKind::Pooled,
                               IdleKind::Answered };
  return std::ranges::any_of(kOrder, [this](IdleKind aKind) {
    return std::ranges::any_of(
      closers_, [aKind](const Closer& aCloser) { return aCloser(aKind); });
  });
}

} // namespace teaselhold::transport
