#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

namespace teaselhold::coordination {

/// Decides which of several queues starts its next request. The first queue
/// holds the calls of running requests and always goes first. The others are
/// in order of urgency, but a queue that has been passed over kMaxPassedOver
/// times goes before more urgent ones, so that no kind of request starves while
/// a more urgent one alone fills the upstream.
class QueueTurns
{
public:
  static constexpr std::size_t kQueueCount = 6;
  static constexpr std::uint32_t kMaxPassedOver = 15;

  using ReadyQueues = std::array<bool, kQueueCount>;

  /// Picks the queue that starts a request now and counts the ones passed over.
  /// @param aReady the queues that have a request and room for it.
  /// @return nothing if none is ready.
  std::optional<std::size_t> Take(const ReadyQueues& aReady);

private:
  std::optional<std::size_t> Next(const ReadyQueues& aReady) const;

  std::array<std::uint32_t, kQueueCount> passedOver_{};
};

} // namespace teaselhold::coordination
