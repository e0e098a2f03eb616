#include "Transport/Limits/MemoryBudget.h"

namespace teaselhold::transport {

namespace {

constexpr std::uint64_t kTightDivisor = 8;

} // namespace

bool
MayHold(const MemoryDemand& aDemand)
{
  const auto used = aDemand.used + aDemand.more;
  const auto byConnection = aDemand.byConnection + aDemand.more;
  if (used > aDemand.limit) {
    return false;
  }
  if (byConnection <= kSmallHolderBytes) {
    return true;
  }
  const auto free = aDemand.limit - used;
  if (aDemand.use == MemoryUse::Answer) {
    return byConnection <= kConnectionMultiple * free;
  }
  const auto reserve = aDemand.limit / kSmallShareDivisor;
  if (free <= reserve) {
    return false;
  }
  return byConnection <= kConnectionMultiple * (free - reserve) &&
         aDemand.byAddress + aDemand.more <=
           kAddressMultiple * (free - reserve);
}

void
MemoryBudget::SetLimit(std::uint64_t aLimitBytes)
{
  const std::lock_guard lock(mutex_);
  limit_ = aLimitBytes;
}

std::uint64_t
MemoryBudget::Limit() const
{
  const std::lock_guard lock(mutex_);
  return limit_;
}

std::uint64_t
MemoryBudget::Used() const
{
  const std::lock_guard lock(mutex_);
  return used_;
}

bool
MemoryBudget::IsTight() const
{
  const std::lock_guard lock(mutex_);
  return used_ > limit_ - limit_ / kTightDivisor;
}

MemoryBudget::Holder::Holder(std::shared_ptr<MemoryBudget> aBudget,
                             const boost::asio::ip::address& aPeer)
  : budget_(std::move(aBudget))
{
  const std::lock_guard lock(budget_->mutex_);
  address_ = budget_->addresses_.try_emplace(aPeer).first;
  ++address_->second.holders;
}

MemoryBudget::Holder::~Holder()
{
  const std::lock_guard lock(budget_->mutex_);
  budget_->used_ -= held_;
  address_->second.bytes -= held_;
  if (--address_->second.holders == 0) {
    budget_->addresses_.erase(address_);
  }
}

bool
MemoryBudget::Holder::TryTake(MemoryUse aUse, std::uint64_t aBytes)
{
  const std::lock_guard lock(budget_->mutex_);
  const MemoryDemand demand{
    aUse,  budget_->limit_,        budget_->used_,
    held_, address_->second.bytes, aBytes,
  };
  if (!MayHold(demand)) {
    return false;
  }
  budget_->used_ += aBytes;
  address_->second.bytes += aBytes;
  held_ += aBytes;
  return true;
}

void
MemoryBudget::Holder::Take(std::uint64_t aBytes)
{
  const std::lock_guard lock(budget_->mutex_);
  budget_->used_ += aBytes;
  address_->second.bytes += aBytes;
  held_ += aBytes;
}

void
MemoryBudget::Holder::GiveBack(std::uint64_t aBytes)
{
  const std::lock_guard lock(budget_->mutex_);
  budget_->used_ -= aBytes;
  address_->second.bytes -= aBytes;
  held_ -= aBytes;
}

bool
MemoryShare::TryResize(MemoryUse aUse, std::uint64_t aBytes)
{
  if (aBytes > bytes_) {
    if (!holder_->TryTake(aUse, aBytes - bytes_)) {
      return false;
    }
    bytes_ = aBytes;
  }
  Shrink(aBytes);
  return true;
}

void
MemoryShare::Resize(std::uint64_t aBytes)
{
  if (aBytes > bytes_) {
    holder_->Take(aBytes - bytes_);
    bytes_ = aBytes;
  }
  Shrink(aBytes);
}

void
MemoryShare::Shrink(std::uint64_t aBytes)
{
  if (aBytes < bytes_) {
    holder_->GiveBack(bytes_ - aBytes);
    bytes_ = aBytes;
  }
}

} // namespace teaselhold::transport
