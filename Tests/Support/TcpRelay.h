#pragma once

#include "Transport/SocketAddress.h"
#include "Transport/detail/AsioHeaders.h"

#include <array>
#include <future>
#include <memory>
#include <set>
#include <string>
#include <thread>

namespace teaselhold::tests {

/// Passes connections on to another address on loopback until it is cut.
class TcpRelay
{
public:
  explicit TcpRelay(const std::string& aTarget)
    : target_(MakeEndpoint(aTarget))
    , acceptor_(context_, { boost::asio::ip::address_v4::loopback(), 0 })
  {
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~TcpRelay()
  {
    context_.stop();
    thread_.join();
  }
  TcpRelay(const TcpRelay&) = delete;
  TcpRelay& operator=(const TcpRelay&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }

  /// Ends all connections, and each new one at once.
  void Cut()
  {
    std::promise<void> done;
    boost::asio::post(context_, [&] {
      isCut_ = true;
      for (const auto& socket : sockets_) {
        boost::system::error_code error;
        socket->close(error);
      }
      done.set_value();
    });
    done.get_future().wait();
  }

private:
  using Tcp = boost::asio::ip::tcp;
  using SocketPointer = std::shared_ptr<Tcp::socket>;

  static Tcp::endpoint MakeEndpoint(const std::string& aAddress)
  {
    const auto address = *transport::ParseSocketAddress(aAddress);
    return { boost::asio::ip::make_address(address.host), address.port };
  }

  boost::asio::awaitable<void> Accept()
  {
    while (true) {
      const auto near = std::make_shared<Tcp::socket>(
        co_await acceptor_.async_accept(boost::asio::use_awaitable));
      if (!isCut_) {
        boost::asio::co_spawn(context_, Connect(near), boost::asio::detached);
      }
    }
  }

  boost::asio::awaitable<void> Connect(SocketPointer aNear)
  {
    const auto far = std::make_shared<Tcp::socket>(context_);
    boost::system::error_code error;
    co_await far->async_connect(
      target_, boost::asio::redirect_error(boost::asio::use_awaitable, error));
    if (error || isCut_) {
      co_return;
    }
    sockets_.insert({ aNear, far });
    boost::asio::co_spawn(context_, Pump(aNear, far), boost::asio::detached);
    boost::asio::co_spawn(context_, Pump(far, aNear), boost::asio::detached);
  }

  /// Passes bytes on in one direction, and ends both with it.
  boost::asio::awaitable<void> Pump(SocketPointer aFrom, SocketPointer aTo)
  {
    std::array<char, 16384> buffer{};
    boost::system::error_code error;
    while (!error) {
      const auto bytes = co_await aFrom->async_read_some(
        boost::asio::buffer(buffer),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (!error) {
        co_await boost::asio::async_write(
          *aTo,
          boost::asio::buffer(buffer, bytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      }
    }
    boost::system::error_code ignored;
    aFrom->close(ignored);
    aTo->close(ignored);
    sockets_.erase(aFrom);
    sockets_.erase(aTo);
  }

  boost::asio::io_context context_{ 1 };
  const Tcp::endpoint target_;
  Tcp::acceptor acceptor_;
  std::set<SocketPointer> sockets_;
  bool isCut_ = false;
  std::thread thread_;
};

} // namespace teaselhold::tests
