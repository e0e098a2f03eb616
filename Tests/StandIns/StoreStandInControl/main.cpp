#include "Transport/HttpClientPool.h"

#include <gflags/gflags.h>
#include <iostream>
#include <nlohmann/json.hpp>

DEFINE_string(address, "127.0.0.1:7000", "address of the store's stand-in");
DEFINE_bool(counters, false, "print the counters as JSON and set no fault");
DEFINE_bool(down, false, "refuse every call");
DEFINE_bool(reset, false, "with --down: break off instead of refusing");
DEFINE_uint32(delay_milliseconds, 0, "delay every call");
DEFINE_uint32(lose_write_answers, 0, "lose the answers of the next writes");
DEFINE_uint32(late_writes_milliseconds,
              0,
              "with --lose_write_answers: the writes take effect later");
DEFINE_bool(lapse_leases, false, "revoke every lease once");
DEFINE_bool(compact, false, "drop the history once");
DEFINE_string(revoke, "", "remove the keys with this prefix once");
DEFINE_string(restore_previous_value_of, "", "restore this key's last value");

namespace {

using namespace teaselhold;
namespace http = boost::beast::http;

transport::HttpRequest
MakeRequest()
{
  if (FLAGS_counters) {
    return { http::verb::get, "/stand-in/counters", 11 };
  }
  nlohmann::json faults{
    { "down", FLAGS_down },
    { "reset", FLAGS_reset },
    { "delay_milliseconds", FLAGS_delay_milliseconds },
    { "lose_write_answers", FLAGS_lose_write_answers },
    { "late_writes_milliseconds", FLAGS_late_writes_milliseconds },
    { "lapse_leases", FLAGS_lapse_leases },
    { "compact", FLAGS_compact },
    { "restore_previous_value_of", FLAGS_restore_previous_value_of }
  };
  if (!FLAGS_revoke.empty()) {
    faults["revoke"] = FLAGS_revoke;
  }
  transport::HttpRequest request(http::verb::post, "/stand-in/faults", 11);
  request.body() = faults.dump();
  request.prepare_payload();
  return request;
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  constexpr std::chrono::seconds kTimeout{ 5 };
  boost::asio::io_context context(1);
  transport::HttpClientPool pool(context, 1);
  auto request = MakeRequest();
  request.set(http::field::host, FLAGS_address);
  int code = 1;
  boost::asio::co_spawn(
    context,
    [&]() -> boost::asio::awaitable<void> {
      const auto answer = co_await pool.Send(
        FLAGS_address, request, std::chrono::steady_clock::now() + kTimeout);
      if (!answer) {
        std::cerr << answer.error().message << "\n";
      } else if (FLAGS_counters) {
        std::cout << answer->body() << "\n";
      }
      code = answer && answer->result() == http::status::ok ? 0 : 1;
    },
    boost::asio::detached);
  context.run();
  return code;
}
