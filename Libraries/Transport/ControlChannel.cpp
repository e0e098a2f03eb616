#include "Transport/ControlChannel.h"

#include "Transport/SocketAddress.h"
#include "Transport/detail/AsioHeaders.h"
#include "control.grpc.pb.h"

#include <atomic>
#include <grpcpp/grpcpp.h>
#include <map>
#include <mutex>
#include <thread>

namespace teaselhold::transport {

namespace {

using boost::asio::ip::udp;

/// IPv4 and UDP headers, counted as control bytes.
constexpr std::size_t kDatagramOverhead = 28;
constexpr std::chrono::seconds kBulkTimeout{ 5 };
constexpr int kMaxBulkMessageBytes = 4 * 1024 * 1024;
constexpr std::size_t kMaxBulkPeers = 256;

struct AtomicCounters
{
  std::atomic<std::uint64_t> sentMessages = 0;
  std::atomic<std::uint64_t> sentBytes = 0;
  std::atomic<std::uint64_t> receivedMessages = 0;
  std::atomic<std::uint64_t> receivedBytes = 0;
  std::atomic<std::uint64_t> droppedMessages = 0;
};

/// Receives large envelopes.
class BulkService final : public wire::NodeControl::Service
{
public:
  BulkService(const ControlChannel::Receiver& aReceiver,
              AtomicCounters& aCounters)
    : receiver_(aReceiver)
    , counters_(aCounters)
  {
  }

  grpc::Status Deliver(grpc::ServerContext* /*aContext*/,
                       const wire::Envelope* aEnvelope,
                       wire::DeliverResponse* /*aResponse*/) override
  {
    ++counters_.receivedMessages;
    counters_.receivedBytes += aEnvelope->ByteSizeLong();
    receiver_(*aEnvelope);
    return grpc::Status::OK;
  }

private:
  const ControlChannel::Receiver& receiver_;
  AtomicCounters& counters_;
};

/// One asynchronous bulk call; deletes itself when the call ends.
struct BulkCall
{
  grpc::ClientContext context;
  wire::DeliverResponse response;
};

} // namespace

class ControlChannel::Implementation
{
public:
  Implementation(Receiver aReceiver, const SocketAddress& aAddress)
    : receiver_(std::move(aReceiver))
    , socket_(context_)
    , bulkService_(receiver_, counters_)
    , address_(aAddress)
  {
  }

  tl::expected<void, TransportError> Open()
  {
    boost::system::error_code error;
    const udp::endpoint local(boost::asio::ip::make_address(address_.host),
                              address_.port);
    socket_.open(local.protocol(), error);
    if (!error) {
      socket_.bind(local, error);
    }
    if (error) {
      return Fail("UDP", error.message());
    }
    socket_.non_blocking(true);
    const auto name = address_.host + ":" + std::to_string(address_.port);
    int port = 0;
    grpc::ServerBuilder builder;
    builder.AddListeningPort(name, grpc::InsecureServerCredentials(), &port);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.SetMaxReceiveMessageSize(kMaxBulkMessageBytes);
    builder.SetResourceQuota(
      grpc::ResourceQuota("bulk").SetMaxThreads(4).Resize(32 * 1024 * 1024));
    builder.RegisterService(&bulkService_);
    server_ = builder.BuildAndStart();
    if (server_ == nullptr || port == 0) {
      return Fail("TCP", "the port is in use");
    }
    Receive();
    thread_ = std::thread([this] { context_.run(); });
    return {};
  }

  void Send(const std::string& aAddress, const wire::Envelope& aEnvelope)
  {
    const auto size = aEnvelope.ByteSizeLong();
    ++counters_.sentMessages;
    if (size > kMaxDatagramBytes) {
      counters_.sentBytes += size;
      SendBulk(aAddress, aEnvelope);
      return;
    }
    const auto target = ParseSocketAddress(aAddress);
    if (!target) {
      ++counters_.droppedMessages;
      return;
    }
    counters_.sentBytes += size + kDatagramOverhead;
    const auto bytes = aEnvelope.SerializeAsString();
    const udp::endpoint endpoint(boost::asio::ip::make_address(target->host),
                                 target->port);
    boost::system::error_code error;
    const std::lock_guard lock(socketMutex_);
    socket_.send_to(boost::asio::buffer(bytes), endpoint, 0, error);
    if (error) {
      ++counters_.droppedMessages;
    }
  }

  ControlCounters Counters() const
  {
    return { counters_.sentMessages,
             counters_.sentBytes,
             counters_.receivedMessages,
             counters_.receivedBytes,
             counters_.droppedMessages };
  }

  void Close()
  {
    if (server_ != nullptr) {
      server_->Shutdown(std::chrono::system_clock::now() +
                        std::chrono::milliseconds(200));
    }
    context_.stop();
    if (thread_.joinable()) {
      thread_.join();
    }
  }

private:
  tl::expected<void, TransportError> Fail(const std::string& aProtocol,
                                          const std::string& aReason) const
  {
    return tl::make_unexpected(
      TransportError{ TransportErrorCode::BindFailed,
                      "cannot listen on " + aProtocol + " " + address_.host +
                        ":" + std::to_string(address_.port) + ": " + aReason });
  }

  void Receive()
  {
    socket_.async_receive_from(
      boost::asio::buffer(buffer_),
      sender_,
      [this](const boost::system::error_code& aError, std::size_t aSize) {
        if (aError == boost::asio::error::operation_aborted) {
          return;
        }
        if (!aError) {
          OnDatagram(aSize);
        }
        Receive();
      });
  }

  void OnDatagram(std::size_t aSize)
  {
    ++counters_.receivedMessages;
    counters_.receivedBytes += aSize + kDatagramOverhead;
    wire::Envelope envelope;
    if (!envelope.ParseFromArray(buffer_.data(), static_cast<int>(aSize))) {
      ++counters_.droppedMessages;
      return;
    }
    receiver_(std::move(envelope));
  }

  void SendBulk(const std::string& aAddress, const wire::Envelope& aEnvelope)
  {
    auto call = std::make_shared<BulkCall>();
    call->context.set_deadline(std::chrono::system_clock::now() + kBulkTimeout);
    auto request = std::make_shared<wire::Envelope>(aEnvelope);
    BulkStub(aAddress)->async()->Deliver(
      &call->context,
      request.get(),
      &call->response,
      [this, call, request](const grpc::Status& aStatus) {
        if (!aStatus.ok()) {
          ++counters_.droppedMessages;
        }
      });
  }

  std::shared_ptr<wire::NodeControl::Stub> BulkStub(const std::string& aAddress)
  {
    const std::lock_guard lock(stubsMutex_);
    auto& stub = stubs_[aAddress];
    if (stub != nullptr) {
      return stub;
    }
    grpc::ChannelArguments arguments;
    arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, 1000);
    arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, 0);
    stub = wire::NodeControl::NewStub(grpc::CreateCustomChannel(
      aAddress, grpc::InsecureChannelCredentials(), arguments));
    auto result = stub;
    if (stubs_.size() > kMaxBulkPeers) {
      stubs_.erase(stubs_.begin()->first == aAddress ? std::prev(stubs_.end())
                                                     : stubs_.begin());
    }
    return result;
  }

  Receiver receiver_;
  AtomicCounters counters_;
  boost::asio::io_context context_{ 1 };
  udp::socket socket_;
  std::mutex socketMutex_;
  udp::endpoint sender_;
  std::array<char, 65536> buffer_{};
  BulkService bulkService_;
  SocketAddress address_;
  std::unique_ptr<grpc::Server> server_;
  std::mutex stubsMutex_;
  std::map<std::string, std::shared_ptr<wire::NodeControl::Stub>> stubs_;
  std::thread thread_;
};

tl::expected<std::unique_ptr<ControlChannel>, TransportError>
ControlChannel::Open(const std::string& aAddress, Receiver aReceiver)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  auto implementation =
    std::make_unique<Implementation>(std::move(aReceiver), *address);
  const auto opened = implementation->Open();
  if (!opened) {
    return tl::make_unexpected(opened.error());
  }
  return std::unique_ptr<ControlChannel>(
    new ControlChannel(std::move(implementation)));
}

ControlChannel::ControlChannel(std::unique_ptr<Implementation> aImplementation)
  : implementation_(std::move(aImplementation))
{
}

ControlChannel::~ControlChannel()
{
  Close();
}

void
ControlChannel::Send(const std::string& aAddress,
                     const wire::Envelope& aEnvelope)
{
  implementation_->Send(aAddress, aEnvelope);
}

ControlCounters
ControlChannel::Counters() const
{
  return implementation_->Counters();
}

void
ControlChannel::Close()
{
  implementation_->Close();
}

} // namespace teaselhold::transport
