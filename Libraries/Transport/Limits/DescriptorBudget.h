#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace teaselhold::transport {

/// Idle connections in the order in which they are closed for others.
enum class IdleKind : std::uint8_t
{
  /// A peer that has sent nothing since it connected.
  Silent,
  /// A connection of this process to a peer.
  Pooled,
  /// A peer that has been answered and may come back.
  Answered,
};

/// The descriptors of this process for connections with peers. Each connection
/// holds a lease. The budget closes idle connections before it refuses one.
/// Thread-safe, except that the closers run on the thread that asks.
class DescriptorBudget : public std::enable_shared_from_this<DescriptorBudget>
{
public:
  /// Closes the longest idle connection of a kind.
  /// @return false if there is none.
  using Closer = std::function<bool(IdleKind)>;

  /// @param aMaxDescriptors of the process; 0 bounds nothing.
  explicit DescriptorBudget(std::uint32_t aMaxDescriptors)
  {
    SetDescriptors(aMaxDescriptors);
  }

  /// Counts until the end of its scope.
  class Lease
  {
  public:
    Lease(std::shared_ptr<DescriptorBudget> aBudget,
          std::atomic<std::size_t> DescriptorBudget::*aCount)
      : budget_(std::move(aBudget))
      , count_(aCount)
    {
      ++((*budget_).*count_);
    }
    ~Lease() { --((*budget_).*count_); }
    Lease(const Lease&) = delete;
    Lease& operator=(const Lease&) = delete;

  private:
    std::shared_ptr<DescriptorBudget> budget_;
    std::atomic<std::size_t> DescriptorBudget::*count_;
  };
  using LeasePointer = std::unique_ptr<Lease>;

  void SetDescriptors(std::uint32_t aMaxDescriptors);

  /// @return nullptr if the connection must be refused.
  LeasePointer Accept();
  LeasePointer Connect();

  /// Counts a request that is received, handled or answered. Each may need a
  /// connection of its own to a peer.
  /// @return nullptr if the request must be refused.
  LeasePointer BeginRequest();

  /// @return true if a connection may read a request before its earlier ones
  /// are answered.
  bool MayReadAhead() const { return requests_ < limit_ / kAheadDivisor; }

  /// Refused connections that may be open for their answer.
  std::size_t MaxRefusing() const { return limit_ / kRefusingDivisor; }

  void AddCloser(Closer aCloser);

  std::size_t Connections() const { return connections_; }

private:
  /// Descriptors that the platform reserves for files.
  static constexpr std::uint32_t kFileDescriptors = 200;
  /// Listeners, control channel, store, metrics and administration.
  static constexpr std::uint32_t kOwnSockets = 48;
  /// The rest of accepted connections is kept for outgoing ones.
  static constexpr std::size_t kOutgoingDivisor = 8;
  static constexpr std::size_t kAheadDivisor = 8;
  static constexpr std::size_t kRefusingDivisor = 16;

  bool CloseIdle();

  std::atomic<std::size_t> limit_ = std::numeric_limits<std::size_t>::max();
  std::atomic<std::size_t> connections_ = 0;
  std::atomic<std::size_t> requests_ = 0;
  std::mutex mutex_;
  std::vector<Closer> closers_;
};

} // namespace teaselhold::transport
