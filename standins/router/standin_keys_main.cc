/// @file
/// Program `standin-keys`: a server that runs with a router in the soak.

#include <boost/program_options.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>

#include "standins/router/key_server.h"
#include "standins/standin_process.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  using namespace shedlever;
  standins::KeyServerConfig config;
  std::string listen;
  std::string reports_to;
  unsigned work_ms = 20;
  unsigned first_report_ms = 0;
  options::options_description flags("standin-keys: a server that holds keys");
  flags.add_options()("help", "this text")("listen", options::value(&listen)->default_value("127.0.0.1:0"), "IP:PORT")(
      "reports-to", options::value(&reports_to)->required(), "IP:PORT to which heartbeats are sent")(
      "service", options::value(&config.service)->required(), "service of the server")(
      "divided", options::bool_switch(&config.divided_by_key), "the service is divided by key")(
      "keys-by-heartbeat", options::bool_switch(&config.keys_by_heartbeat), "receive keys by heartbeat")(
      "slots", options::value(&config.slots), "maximum of concurrent requests")(
      "work-ms", options::value(&work_ms), "duration of a request in milliseconds")(
      "first-report-ms", options::value(&first_report_ms),
      "time from the start to the first heartbeat, in milliseconds")(
      "log", options::value(&config.log_file)->required(), "log file for requests and grants")(
      "seed", options::value(&config.seed), "seed of the random faults")(
      "fatal-path", options::value(&config.fatal_path), "path of requests that crash the server")(
      "id", options::value(&config.id), "server id; by default unique to the instance");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, flags), values);
  options::notify(values);
  const auto endpoint = standins::parseEndpoint(listen);
  const auto reports = standins::parseEndpoint(reports_to);
  if (!endpoint || !reports) {
    std::cerr << flags;
    return EXIT_FAILURE;
  }
  config.listen = *endpoint;
  config.heartbeat_endpoint = *reports;
  config.request_duration = std::chrono::milliseconds(work_ms);
  config.on_fatal_begin = [] {};
  // Simulates a crash: requests get no response and connections break.
  config.on_fatal_end = [] { std::raise(SIGKILL); };
  config.first_report_delay = std::chrono::milliseconds(first_report_ms);
  EventLoop loop;
  config.on_left = [&loop] { loop.stop(); };
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(server, standins::KeyServer::start(loop, config));
        loop.onSignal(SIGUSR1, [&server = server] { server->startDraining([] {}); });
        standins::runUntilSignalled(loop, config.listen);
        return EXIT_SUCCESS;
      },
      [] { return EXIT_FAILURE; });
}
