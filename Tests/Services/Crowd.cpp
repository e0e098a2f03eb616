#include "Tests/Services/Crowd.h"

#include "Transport/HttpMessages.h"
#include "Transport/SocketAddress.h"

#include <filesystem>
#include <fstream>
#include <sys/socket.h>

namespace teaselhold::tests {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;

tcp::endpoint
EndpointOf(const std::string& aAddress)
{
  const auto address = *transport::ParseSocketAddress(aAddress);
  return { asio::ip::make_address(address.host), address.port };
}

/// Sends until the end of the sending or of the connection.
asio::awaitable<boost::system::error_code>
SendAll(tcp::socket& aSocket, const Sending& aSending)
{
  boost::system::error_code error;
  asio::steady_timer timer(aSocket.get_executor());
  co_await asio::async_write(aSocket,
                             asio::buffer(aSending.start),
                             asio::redirect_error(asio::use_awaitable, error));
  std::size_t sent = aSending.start.size();
  while (!error && sent < aSending.maxBytes) {
    sent += co_await asio::async_write(
      aSocket,
      asio::buffer(aSending.piece),
      asio::redirect_error(asio::use_awaitable, error));
    if (!error && aSending.pause.count() > 0) {
      timer.expires_after(aSending.pause);
      co_await timer.async_wait(asio::use_awaitable);
    }
  }
  co_return error;
}

} // namespace

Crowd::Crowd(const std::string& aAddress, std::size_t aPeers, Sending aSending)
  : sending_(std::move(aSending))
  , peers_(aPeers)
  , target_(EndpointOf(aAddress))
{
  for (std::size_t i = 0; i < peers_; ++i) {
    asio::co_spawn(context_, Send(), asio::detached);
  }
  thread_ = std::thread([this] { context_.run(); });
}

Crowd::~Crowd()
{
  context_.stop();
  thread_.join();
}

asio::awaitable<void>
Crowd::Send()
{
  tcp::socket socket(context_);
  boost::system::error_code error;
  co_await socket.async_connect(
    target_, asio::redirect_error(asio::use_awaitable, error));
  if (!error) {
    error = co_await SendAll(socket, sending_);
  }
  ++through_;
  if (!error) {
    // Reports a reset, and a close only once it is complete.
    co_await socket.async_wait(
      tcp::socket::wait_error,
      asio::redirect_error(asio::use_awaitable, error));
  }
  ++cutOff_;
}

ForeignUpstream::ForeignUpstream(const std::string& aAddress, Sending aSending)
  : sending_(std::move(aSending))
  , acceptor_(context_, EndpointOf(aAddress))
{
  asio::co_spawn(context_, Accept(), asio::detached);
  thread_ = std::thread([this] { context_.run(); });
}

ForeignUpstream::~ForeignUpstream()
{
  context_.stop();
  thread_.join();
}

asio::awaitable<void>
ForeignUpstream::Accept()
{
  while (true) {
    auto socket = co_await acceptor_.async_accept(asio::use_awaitable);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }
}

asio::awaitable<void>
ForeignUpstream::Serve(tcp::socket aSocket)
{
  static const std::string kHealthy =
    "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhealthy\n";
  boost::system::error_code error;
  boost::beast::flat_buffer buffer;
  while (!error) {
    transport::HttpRequest request;
    co_await http::async_read(aSocket,
                              buffer,
                              request,
                              asio::redirect_error(asio::use_awaitable, error));
    if (!error && request.target() == "/health") {
      co_await asio::async_write(
        aSocket,
        asio::buffer(kHealthy),
        asio::redirect_error(asio::use_awaitable, error));
    } else if (!error) {
      error = co_await SendAll(aSocket, sending_);
    }
  }
}

Usage
UsageOf(const Process& aProcess)
{
  constexpr std::size_t kKilobytes = 1024;
  const auto folder = "/proc/" + std::to_string(aProcess.Id());
  Usage usage;
  std::ifstream status(folder + "/status");
  for (std::string word; status >> word;) {
    if (word == "VmHWM:" && status >> usage.peakMegabytes) {
      usage.peakMegabytes /= kKilobytes;
    }
  }
  std::error_code error;
  for (const auto& entry :
       std::filesystem::directory_iterator(folder + "/fd", error)) {
    ++usage.descriptors;
    const auto target = std::filesystem::read_symlink(entry.path(), error);
    usage.sockets += target.string().starts_with("socket:") ? 1 : 0;
  }
  return usage;
}

bool
IsServed(const std::string& aCallerAddress)
{
  constexpr timeval kLimit{ 10, 0 };
  asio::io_context context;
  tcp::socket socket(context);
  boost::system::error_code error;
  socket.connect(EndpointOf(aCallerAddress), error);
  setsockopt(
    socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &kLimit, sizeof(kLimit));
  const std::string request = "GET /passes/ordinary HTTP/1.1\r\nHost: node\r\n"
                              "Connection: close\r\n\r\n";
  if (!error) {
    asio::write(socket, asio::buffer(request), error);
  }
  // Beast and Asio wait again after a receive timeout, so the socket is read
  // directly.
  std::string answer;
  char piece[1024];
  auto size =
    error ? -1 : recv(socket.native_handle(), piece, sizeof(piece), 0);
  while (size > 0) {
    answer.append(piece, static_cast<std::size_t>(size));
    size = recv(socket.native_handle(), piece, sizeof(piece), 0);
  }
  return answer.starts_with("HTTP/1.1 200");
}

} // namespace teaselhold::tests
