#pragma once

#include "Transport/TransportError.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <tl/expected.hpp>

namespace teaselhold::wire {
class Envelope;
}

namespace teaselhold::transport {

/// Bytes and messages of the control channel since the start.
struct ControlCounters
{
  std::uint64_t sentMessages = 0;
  std::uint64_t sentBytes = 0;
  std::uint64_t receivedMessages = 0;
  std::uint64_t receivedBytes = 0;
  std::uint64_t droppedMessages = 0;
};

/// Carries envelopes between nodes: small ones as one UDP datagram, larger ones
/// by gRPC on the TCP port of the same number. Messages may be lost, reordered
/// or doubled.
class ControlChannel
{
public:
  static constexpr std::size_t kMaxDatagramBytes = 1200;

  /// Called on the channel's threads for each envelope that arrives.
  using Receiver = std::function<void(wire::Envelope)>;

  static tl::expected<std::unique_ptr<ControlChannel>, TransportError> Open(
    const std::string& aAddress,
    Receiver aReceiver);

  ~ControlChannel();

  /// Sends without waiting. A failure is the loss of the message.
  void Send(const std::string& aAddress, const wire::Envelope& aEnvelope);

  ControlCounters Counters() const;

  void Close();

private:
  class Implementation;
  explicit ControlChannel(std::unique_ptr<Implementation> aImplementation);
  std::unique_ptr<Implementation> implementation_;
};

} // namespace teaselhold::transport
