#pragma once

#include "Tests/Support/AnswerServer.h"
#include "Transport/HttpClientPool.h"

#include <array>
#include <catch2/catch.hpp>

namespace teaselhold::tests {

using AskResult =
  tl::expected<transport::HttpResponse, transport::TransportError>;

/// The rules for answers of upstreams on the platform.
inline transport::AnswerRules
PlatformRules()
{
  transport::AnswerRules rules;
  rules.acceptsUnframed = true;
  return rules;
}

/// The rules for answers of other nodes.
inline transport::AnswerRules
NodeRules()
{
  return {};
}

inline transport::HttpRequest
MakeGet()
{
  transport::HttpRequest request(boost::beast::http::verb::get, "/", 11);
  request.set(boost::beast::http::field::host, "upstream");
  return request;
}

inline transport::HttpRequest
MakePost(std::size_t aBodyBytes)
{
  transport::HttpRequest request(boost::beast::http::verb::post, "/", 11);
  request.set(boost::beast::http::field::host, "upstream");
  request.body().assign(aBodyBytes, 'u');
  request.prepare_payload();
  return request;
}

/// Sends requests one after the other through one pool.
inline std::vector<AskResult>
AskAll(const std::string& aAddress,
       const std::vector<transport::HttpRequest>& aRequests,
       const transport::AnswerRules& aRules)
{
  constexpr std::chrono::seconds kDeadline{ 20 };
  transport::HttpClientOptions options;
  options.rules = aRules;
  boost::asio::io_context context(1);
  transport::HttpClientPool pool(context, options);
  std::vector<AskResult> results;
  const auto ask = [&]() -> boost::asio::awaitable<void> {
    for (const auto& request : aRequests) {
      results.push_back(co_await pool.Send(
        aAddress, request, std::chrono::steady_clock::now() + kDeadline));
    }
  };
  boost::asio::co_spawn(context, ask(), boost::asio::detached);
  while (results.size() < aRequests.size()) {
    REQUIRE(context.run_one_for(2 * kDeadline) > 0);
  }
  return results;
}

inline AskResult
Ask(const std::string& aAddress,
    const transport::HttpRequest& aRequest,
    const transport::AnswerRules& aRules)
{
  return AskAll(aAddress, { aRequest }, aRules).front();
}

/// Asks a server that gives the answer, and then asks once more.
/// @return the first result.
inline AskResult
AskForBroken(const ScriptedAnswer& aAnswer,
             const transport::AnswerRules& aRules = PlatformRules(),
             const transport::HttpRequest& aRequest = MakeGet())
{
  static const std::string kWhole =
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  const AnswerServer server({ aAnswer, { kWhole, ConnectionEnd::Kept } });
  const auto results =
    AskAll(server.Address(), { aRequest, MakeGet() }, aRules);
  // The request after a broken answer has a connection of its own.
  REQUIRE(results[1].has_value());
  CHECK(results[1]->body() == "ok");
  CHECK(server.Connections() == 2);
  return results[0];
}

/// Checks that an answer is not passed on and promises nothing.
inline void
CheckUnreadable(const AskResult& aResult)
{
  REQUIRE_FALSE(aResult.has_value());
  CHECK(aResult.error().code == transport::TransportErrorCode::PartialAnswer);
}

/// @return the bytes of an answer with the lines of its head.
inline std::string
MakeAnswer(const std::string& aFields,
           const std::string& aBody,
           const std::string& aStatusLine = "HTTP/1.1 200 OK")
{
  return aStatusLine + "\r\n" + aFields + "\r\n" + aBody;
}

inline std::string
MakeChunked(const std::string& aChunks)
{
  return MakeAnswer("Transfer-Encoding: chunked\r\n", aChunks);
}

/// Ways in which an answer may say where its body ends, with a body.
struct Framing
{
  const char* name;
  const char* fields;
  const char* body;
  ConnectionEnd end;
};

inline constexpr std::array kFramings{
  Framing{ "length", "Content-Length: 5\r\n", "hello", ConnectionEnd::Kept },
  Framing{ "chunks",
           "Transfer-Encoding: chunked\r\n",
           "5\r\nhello\r\n0\r\n\r\n",
           ConnectionEnd::Kept },
  Framing{ "none", "", "hello", ConnectionEnd::Closed },
};

} // namespace teaselhold::tests
