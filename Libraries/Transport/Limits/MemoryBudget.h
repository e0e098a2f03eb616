#pragma once

#include "Transport/detail/AsioHeaders.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace teaselhold::transport {

enum class MemoryUse : std::uint8_t
{
  /// Bytes of a request that has not run: it can still be refused.
  Request,
  /// Bytes of an answer to a request that has run.
  Answer,
};

/// The figures that decide whether a peer may hold more.
struct MemoryDemand
{
  MemoryUse use = MemoryUse::Request;
  std::uint64_t limit = 0;
  /// Held by all peers.
  std::uint64_t used = 0;
  /// Held by the connection, and by all connections of its address.
  std::uint64_t byConnection = 0;
  std::uint64_t byAddress = 0;
  std::uint64_t more = 0;
};

/// Small requests always find this part of the budget.
inline constexpr std::uint64_t kSmallShareDivisor = 16;

/// A connection that holds no more than this is small: an ordinary request
/// with its head.
inline constexpr std::uint64_t kSmallHolderBytes = 64ULL * 1024;

/// A connection holds at most this multiple of what stays free, so that one
/// connection leaves a ninth and each further one finds a part. One body of 64
/// MiB fits into a budget of 80 MiB.
inline constexpr std::uint64_t kConnectionMultiple = 8;

/// The same for all connections of one address.
inline constexpr std::uint64_t kAddressMultiple = 12;

/// Decides whether a peer may hold more bytes. The bound of a connection and of
/// an address falls with what is free, so that no number of large holders
/// takes everything and a single one is not bound to an equal part.
bool
MayHold(const MemoryDemand& aDemand);

/// The memory of this process for bytes that peers send, over all connections.
/// Bytes are taken before they are stored. Thread-safe.
class MemoryBudget : public std::enable_shared_from_this<MemoryBudget>
{
public:
  explicit MemoryBudget(std::uint64_t aLimitBytes)
    : limit_(aLimitBytes)
  {
  }

  class Holder;
  using HolderPointer = std::shared_ptr<Holder>;

  void SetLimit(std::uint64_t aLimitBytes);
  std::uint64_t Limit() const;
  std::uint64_t Used() const;

  /// @return true if less than an eighth is free.
  bool IsTight() const;

private:
  struct Address
  {
    std::uint64_t bytes = 0;
    std::size_t holders = 0;
  };
  using Addresses = std::map<boost::asio::ip::address, Address>;

  mutable std::mutex mutex_;
  std::uint64_t limit_;
  std::uint64_t used_ = 0;
  Addresses addresses_;
};

/// What one connection holds.
class MemoryBudget::Holder
{
public:
  Holder(std::shared_ptr<MemoryBudget> aBudget,
         const boost::asio::ip::address& aPeer);
  ~Holder();
  Holder(const Holder&) = delete;
  Holder& operator=(const Holder&) = delete;

  bool TryTake(MemoryUse aUse, std::uint64_t aBytes);
  /// Takes bytes that are stored already.
  void Take(std::uint64_t aBytes);
  void GiveBack(std::uint64_t aBytes);

private:
  std::shared_ptr<MemoryBudget> budget_;
  Addresses::iterator address_;
  std::uint64_t held_ = 0;
};

/// One part of what a connection holds, given back at the end of its scope.
class MemoryShare
{
public:
  explicit MemoryShare(MemoryBudget::HolderPointer aHolder)
    : holder_(std::move(aHolder))
  {
  }
  ~MemoryShare() { Shrink(0); }
  MemoryShare(const MemoryShare&) = delete;
  MemoryShare& operator=(const MemoryShare&) = delete;

  /// Changes the part to this size.
  /// @return false if the budget refuses it; the part stays as it was.
  bool TryResize(MemoryUse aUse, std::uint64_t aBytes);

  /// Changes the part to the size of what is stored already.
  void Resize(std::uint64_t aBytes);

private:
  void Shrink(std::uint64_t aBytes);

  MemoryBudget::HolderPointer holder_;
  std::uint64_t bytes_ = 0;
};

} // namespace teaselhold::transport
