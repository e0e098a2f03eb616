#pragma once

#include "Tests/Services/Process.h"
#include "Transport/detail/AsioHeaders.h"

#include <atomic>
#include <string>
#include <thread>

namespace teaselhold::tests {

/// What each connection of a crowd sends.
struct Sending
{
  std::string start;
  /// Sent again and again after the start.
  std::string piece;
  /// Bytes after which a connection falls silent and stays open.
  std::size_t maxBytes = 0;
  /// Between two pieces.
  std::chrono::milliseconds pause{ 0 };
};

/// Connections of peers that keep to no limit and never read what comes back.
/// They stay open until the crowd is destroyed or the node ends them.
class Crowd
{
public:
  Crowd(const std::string& aAddress, std::size_t aPeers, Sending aSending);
  ~Crowd();
  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// @return true once each peer has sent everything or was cut off.
  bool IsThrough() const { return through_ == peers_; }

  /// Peers whose connection the node ended.
  std::size_t CutOff() const { return cutOff_; }

private:
  boost::asio::awaitable<void> Send();

  Sending sending_;
  std::size_t peers_;
  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::endpoint target_;
  std::atomic<std::size_t> through_ = 0;
  std::atomic<std::size_t> cutOff_ = 0;
  std::thread thread_;
};

/// Takes the place of an upstream: answers its health check, and each other
/// request as the sending says.
class ForeignUpstream
{
public:
  ForeignUpstream(const std::string& aAddress, Sending aSending);
  ~ForeignUpstream();
  ForeignUpstream(const ForeignUpstream&) = delete;
  ForeignUpstream& operator=(const ForeignUpstream&) = delete;

private:
  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(boost::asio::ip::tcp::socket aSocket);

  Sending sending_;
  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::acceptor acceptor_;
  std::thread thread_;
};

/// What a process holds, from /proc.
struct Usage
{
  /// Highest resident memory since the start, in MB.
  std::size_t peakMegabytes = 0;
  std::size_t descriptors = 0;
  std::size_t sockets = 0;
};

Usage
UsageOf(const Process& aProcess);

/// Asks for GET /passes on a connection of its own, for 10 s at most.
bool
IsServed(const std::string& aCallerAddress);

} // namespace teaselhold::tests
