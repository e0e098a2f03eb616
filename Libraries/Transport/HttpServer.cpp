#include "Transport/HttpServer.h"

#include "Transport/HttpServerConnection.h"
#include "Transport/SocketAddress.h"

#include <algorithm>

namespace teaselhold::transport {

namespace {

namespace asio = boost::asio;

/// Wait after a failed accept, such as one for lack of file descriptors, which
/// would otherwise fail again at once.
constexpr std::chrono::milliseconds kAcceptPause{ 10 };

/// Precision of the time limits on clients.
constexpr std::chrono::milliseconds kSweepInterval{ 250 };

/// Connections above the bound that are told so; further ones are reset.
constexpr std::size_t kMaxRefusing = 256;

} // namespace

HttpServer::HttpServer(asio::io_context& aContext,
                       CancellableHandler aHandler,
                       const HttpServerOptions& aOptions)
  : context_(aContext)
  , acceptor_(aContext)
  , shared_(std::make_shared<Shared>())
{
  shared_->handler = std::move(aHandler);
  shared_->options = aOptions;
  if (shared_->options.limits == nullptr) {
    shared_->options.limits = PeerLimits::OfProcess();
  }
  shared_->options.limits->descriptors->AddCloser(
    [weak = std::weak_ptr(shared_)](IdleKind aKind) {
      const auto shared = weak.lock();
      return shared != nullptr && shared->CloseIdle(aKind);
    });
}

bool
HttpServer::Shared::CloseIdle(IdleKind aKind)
{
  // A connection goes to the end of the list when it becomes idle.
  const auto found = std::ranges::find_if(
    connections, [aKind](HttpServerConnection& aCandidate) {
      return aCandidate.MakeWay(aKind);
    });
  return found != connections.end();
}

tl::expected<std::unique_ptr<HttpServer>, TransportError>
HttpServer::Listen(asio::io_context& aContext,
                   const std::string& aAddress,
                   Handler aHandler,
                   HttpServerOptions aOptions)
{
  return Listen(
    aContext,
    aAddress,
    CancellableHandler(
      [handler = std::move(aHandler)](
        HttpRequest aRequest, const CancellationPointer& /*aCancellation*/) {
        return handler(std::move(aRequest));
      }),
    aOptions);
}

tl::expected<std::unique_ptr<HttpServer>, TransportError>
HttpServer::Listen(asio::io_context& aContext,
                   const std::string& aAddress,
                   CancellableHandler aHandler,
                   HttpServerOptions aOptions)
{
  const auto address = ParseSocketAddress(aAddress);
  if (!address) {
    return tl::make_unexpected(address.error());
  }
  std::unique_ptr<HttpServer> server(
    new HttpServer(aContext, std::move(aHandler), aOptions));
  const asio::ip::tcp::endpoint local(asio::ip::make_address(address->host),
                                      address->port);
  boost::system::error_code error;
  auto& acceptor = server->acceptor_;
  acceptor.open(local.protocol(), error);
  if (!error) {
    acceptor.set_option(asio::socket_base::reuse_address(true), error);
    acceptor.bind(local, error);
  }
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    return tl::make_unexpected(TransportError{ TransportErrorCode::BindFailed,
                                               "cannot listen on " + aAddress +
                                                 ": " + error.message() });
  }
  asio::co_spawn(aContext, server->Accept(), asio::detached);
  asio::co_spawn(aContext, Sweep(server->shared_), asio::detached);
  return server;
}

asio::awaitable<void>
HttpServer::Sweep(std::weak_ptr<Shared> aShared)
{
  asio::steady_timer timer(co_await asio::this_coro::executor);
  while (true) {
    timer.expires_after(kSweepInterval);
    boost::system::error_code error;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, error));
    const auto shared = aShared.lock();
    if (shared == nullptr) {
      co_return;
    }
    const auto now = std::chrono::steady_clock::now();
    const bool isTight = shared->options.limits->memory->IsTight();
    for (auto& connection : shared->connections) {
      connection.EndIfOverdue(now, isTight);
    }
  }
}

void
HttpServer::SetLimits(std::uint32_t aMaxHeaderBytes,
                      std::uint64_t aMaxBodyBytes,
                      std::chrono::milliseconds aHeaderTimeout,
                      std::chrono::milliseconds aIdleTimeout)
{
  shared_->options.maxHeaderBytes = aMaxHeaderBytes;
  shared_->options.maxBodyBytes = aMaxBodyBytes;
  shared_->options.headerTimeout = aHeaderTimeout;
  shared_->options.idleTimeout = aIdleTimeout;
}

void
HttpServer::CloseAfterAnswers()
{
  shared_->closeAfterAnswers = true;
}

void
HttpServer::Drain()
{
  CloseAfterAnswers();
  if (shared_->draining) {
    return;
  }
  shared_->draining = true;
  boost::system::error_code error;
  // Closing a listener resets the connections in its backlog.
  acceptor_.non_blocking(true, error);
  while (!error) {
    asio::ip::tcp::socket socket(context_);
    acceptor_.accept(socket, error);
    if (!error) {
      Serve(std::move(socket));
    }
  }
  acceptor_.close(error);
}

void
HttpServer::EndIdle()
{
  for (auto& connection : shared_->connections) {
    connection.EndIfIdle();
  }
}

std::size_t
HttpServer::InFlight() const
{
  return shared_->inFlight;
}

std::size_t
HttpServer::Connections() const
{
  return shared_->open;
}

void
HttpServer::Serve(asio::ip::tcp::socket aSocket)
{
  boost::system::error_code error;
  const auto peer = aSocket.remote_endpoint(error).address();
  auto& descriptors = *shared_->options.limits->descriptors;
  DescriptorBudget::LeasePointer lease;
  if (shared_->open < shared_->options.maxConnections) {
    lease = descriptors.Accept();
  }
  const bool isRefused = lease == nullptr;
  if (isRefused) {
    shared_->options.limits->Count(PeerRefusal::Connections);
  }
  const auto maxRefusing = std::min(kMaxRefusing, descriptors.MaxRefusing());
  if (isRefused && shared_->refusing >= maxRefusing) {
    return;
  }
  auto connection = std::make_shared<HttpServerConnection>(
    std::move(aSocket), peer, std::move(lease), shared_);
  asio::co_spawn(
    context_,
    [connection, isRefused]() -> asio::awaitable<void> {
      if (isRefused) {
        co_await connection->Refuse();
      } else {
        co_await connection->Run();
      }
    },
    asio::detached);
}

asio::awaitable<void>
HttpServer::Accept()
{
  const auto shared = shared_;
  asio::steady_timer pause(context_);
  while (!shared->draining) {
    boost::system::error_code error;
    auto socket = co_await acceptor_.async_accept(
      asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) {
      co_return;
    }
    if (!error) {
      Serve(std::move(socket));
      continue;
    }
    pause.expires_after(kAcceptPause);
    co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, error));
  }
}

} // namespace teaselhold::transport
