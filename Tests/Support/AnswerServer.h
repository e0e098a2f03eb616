#pragma once

#include "Transport/detail/AsioHeaders.h"

#include <atomic>
#include <charconv>
#include <chrono>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace teaselhold::tests {

/// How a server ends a connection after the bytes of an answer.
enum class ConnectionEnd : std::uint8_t
{
  /// It stays open for the next request.
  Kept,
  /// The server closes its half and reads on until the client closes.
  Closed,
  /// The client gets a reset.
  Reset,
};

/// What the server does with one request.
struct ScriptedAnswer
{
  std::string bytes;
  ConnectionEnd end = ConnectionEnd::Closed;
  /// False answers as soon as the head has arrived.
  bool readsBody = true;
  /// Between the bytes and what follows.
  std::chrono::milliseconds pause{ 0 };
  /// Sent after the pause, when no request waits for them.
  std::string lateBytes{};
};

/// @return the value of a field in the head of a request, or "".
inline std::string
FieldOf(const std::string& aHead, const std::string& aName)
{
  const auto start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return "";
  }
  const auto value = start + aName.size() + 4;
  return aHead.substr(value, aHead.find("\r\n", value) - value);
}

/// Answers requests on loopback with given bytes.
class AnswerServer
{
public:
  /// Chooses the answer by the head of the request.
  using Script = std::function<ScriptedAnswer(const std::string&)>;

  /// Gives the answers one after the other over all connections, and the last
  /// one to all further requests.
  explicit AnswerServer(std::vector<ScriptedAnswer> aAnswers)
    : AnswerServer([this, answers = std::move(aAnswers)](const auto&) {
      return answers[std::min<std::size_t>(requests_, answers.size() - 1)];
    })
  {
  }
  /// @param aPort 0 takes any that is free.
  explicit AnswerServer(Script aScript, std::uint16_t aPort = 0)
    : script_(std::move(aScript))
    , acceptor_(context_, { boost::asio::ip::address_v4::loopback(), aPort })
  {
    boost::asio::co_spawn(context_, Accept(), boost::asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~AnswerServer()
  {
    context_.stop();
    thread_.join();
  }
  AnswerServer(const AnswerServer&) = delete;
  AnswerServer& operator=(const AnswerServer&) = delete;

  std::string Address() const
  {
    return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  unsigned Requests() const { return requests_; }
  unsigned Connections() const { return connections_; }

private:
  using Socket = boost::asio::ip::tcp::socket;

  boost::asio::awaitable<void> Accept()
  {
    while (true) {
      auto socket = co_await acceptor_.async_accept(boost::asio::use_awaitable);
      ++connections_;
      boost::asio::co_spawn(
        context_, Serve(std::move(socket)), boost::asio::detached);
    }
  }

  boost::asio::awaitable<void> Serve(Socket aSocket)
  {
    std::string received;
    boost::system::error_code error;
    while (true) {
      const auto headBytes = co_await boost::asio::async_read_until(
        aSocket,
        boost::asio::dynamic_buffer(received),
        "\r\n\r\n",
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (error) {
        co_return;
      }
      const auto head = received.substr(0, headBytes);
      const auto bodyBytes = ReadLength(head);
      received.erase(0, headBytes);
      const auto answer = script_(head);
      ++requests_;
      if (answer.readsBody) {
        co_await ReadBody(aSocket, received, bodyBytes);
      }
      co_await boost::asio::async_write(
        aSocket,
        boost::asio::buffer(answer.bytes),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
      if (answer.pause.count() > 0) {
        boost::asio::steady_timer timer(context_, answer.pause);
        co_await timer.async_wait(boost::asio::use_awaitable);
        co_await boost::asio::async_write(
          aSocket,
          boost::asio::buffer(answer.lateBytes),
          boost::asio::redirect_error(boost::asio::use_awaitable, error));
      }
      if (answer.end == ConnectionEnd::Reset) {
        aSocket.set_option(boost::asio::socket_base::linger(true, 0), error);
        aSocket.close(error);
        co_return;
      }
      if (answer.end == ConnectionEnd::Closed || !answer.readsBody) {
        co_await DiscardAll(aSocket, answer.end);
        co_return;
      }
    }
  }

  static boost::asio::awaitable<void> ReadBody(Socket& aSocket,
                                               std::string& aReceived,
                                               std::size_t aBytes)
  {
    boost::system::error_code error;
    if (aReceived.size() < aBytes) {
      co_await boost::asio::async_read(
        aSocket,
        boost::asio::dynamic_buffer(aReceived),
        boost::asio::transfer_exactly(aBytes - aReceived.size()),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
    aReceived.erase(0, aBytes);
  }

  /// Reads until the client ends the connection, so that a close of this side
  /// is no reset.
  static boost::asio::awaitable<void> DiscardAll(Socket& aSocket,
                                                 ConnectionEnd aEnd)
  {
    boost::system::error_code error;
    if (aEnd == ConnectionEnd::Closed) {
      aSocket.shutdown(Socket::shutdown_send, error);
    }
    std::string discarded(std::size_t{ 64 } * 1024, '\0');
    while (!error) {
      co_await aSocket.async_read_some(
        boost::asio::buffer(discarded),
        boost::asio::redirect_error(boost::asio::use_awaitable, error));
    }
  }

  static std::size_t ReadLength(const std::string& aHead)
  {
    const auto text = FieldOf(aHead, "Content-Length");
    std::size_t length = 0;
    std::from_chars(text.data(), text.data() + text.size(), length);
    return length;
  }

  const Script script_;
  boost::asio::io_context context_{ 1 };
  boost::asio::ip::tcp::acceptor acceptor_;
  std::atomic<unsigned> requests_ = 0;
  std::atomic<unsigned> connections_ = 0;
  std::thread thread_;
};

} // namespace teaselhold::tests
