#pragma once

#include "State/EnumNames.h"
#include "Transport/Limits/DescriptorBudget.h"
#include "Transport/Limits/MemoryBudget.h"

#include <array>
#include <atomic>

namespace teaselhold::transport {

/// Why a peer was refused, or its connection closed.
enum class PeerRefusal : std::uint8_t
{
  /// The budget of memory had no room for a request.
  Memory,
  /// No descriptor was free for a connection.
  Connections,
  /// Too many requests were in progress for the descriptors.
  Requests,
  /// An idle connection was closed for another one.
  Idle,
  /// The head, the trailers or the extensions of chunks were too long.
  Header,
  /// The body was too long.
  Body,
  /// The request was not HTTP/1.1.
  Malformed,
  /// The request came too slowly.
  SlowSender,
  /// The answer was read too slowly.
  SlowReader,
  /// The budget of memory had no room for an answer.
  AnswerMemory,
  /// The framing of an answer was too long.
  AnswerFraming,
};

inline constexpr std::array<state::EnumName<PeerRefusal>, 11> kPeerRefusalNames{
  {
    { PeerRefusal::Memory, "memory" },
    { PeerRefusal::Connections, "connections" },
    { PeerRefusal::Requests, "requests" },
    { PeerRefusal::Idle, "idle" },
    { PeerRefusal::Header, "header" },
    { PeerRefusal::Body, "body" },
    { PeerRefusal::Malformed, "malformed" },
    { PeerRefusal::SlowSender, "slow-sender" },
    { PeerRefusal::SlowReader, "slow-reader" },
    { PeerRefusal::AnswerMemory, "answer-memory" },
    { PeerRefusal::AnswerFraming, "answer-framing" },
  }
};

using PeerRefusalCounts = std::array<std::uint64_t, kPeerRefusalNames.size()>;

/// The limits of one process on its peers, shared by all of its connections.
class PeerLimits
{
public:
  /// The budget if the host does not bound the memory.
  static constexpr std::uint64_t kDefaultMemoryBytes = 192ULL * 1024 * 1024;

  /// The part of the host's memory that peers may make the process hold. The
  /// rest is for the process itself, and for what the allocator keeps.
  static constexpr std::uint64_t kMemoryDivisor = 2;

  PeerLimits(std::uint64_t aMemoryBytes, std::uint32_t aMaxDescriptors)
    : memory(std::make_shared<MemoryBudget>(aMemoryBytes))
    , descriptors(std::make_shared<DescriptorBudget>(aMaxDescriptors))
  {
  }

  /// The limits that connections share if they are given no others.
  static const std::shared_ptr<PeerLimits>& OfProcess();

  /// Takes the limits of the host. Called before the first connection.
  /// @param aMemoryMegabytes in MiB; 0 if the host does not bound it.
  /// @param aMaxDescriptors 0 if the host does not bound them.
  void SetHost(std::uint32_t aMemoryMegabytes, std::uint32_t aMaxDescriptors);

  void Count(PeerRefusal aRefusal)
  {
    ++counts_[static_cast<std::size_t>(aRefusal)];
  }
  PeerRefusalCounts Counts() const;

  const std::shared_ptr<MemoryBudget> memory;
  const std::shared_ptr<DescriptorBudget> descriptors;

private:
  std::array<std::atomic<std::uint64_t>, kPeerRefusalNames.size()> counts_{};
};

} // namespace teaselhold::transport
