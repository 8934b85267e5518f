/// @file
/// Program `standin-keys`: a server beside a router, for the fault soak.

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
  options::options_description flags("standin-keys: a server that holds keys");
  flags.add_options()("help", "this text")("listen", options::value(&listen)->default_value("127.0.0.1:0"), "IP:PORT")(
      "reports-to", options::value(&reports_to)->required(), "IP:PORT of the router's reports")(
      "service", options::value(&config.service)->required(), "its service")(
      "divided", options::bool_switch(&config.divided_by_key), "its service is divided by key")(
      "keys-by-heartbeat", options::bool_switch(&config.keys_by_heartbeat), "it takes its keys by heartbeat")(
      "slots", options::value(&config.slots), "requests at once")("work-ms", options::value(&work_ms), "of a request")(
      "log", options::value(&config.log_file)->required(), "file for runs and grants")(
      "seed", options::value(&config.seed), "of its faults")("fatal-path", options::value(&config.fatal_path),
                                                             "path of a request under which it ends")(
      "id", options::value(&config.id), "its id; one that no other life has where it is not given");
  options::variables_map given;
  options::store(options::parse_command_line(argc, argv, flags), given);
  options::notify(given);
  const auto endpoint = standins::parseEndpoint(listen);
  const auto reports = standins::parseEndpoint(reports_to);
  if (!endpoint || !reports) {
    std::cerr << flags;
    return EXIT_FAILURE;
  }
  config.listen = *endpoint;
  config.reports_to = *reports;
  config.request_duration = std::chrono::milliseconds(work_ms);
  config.on_fatal_begin = [] {};
  // As a crash: nothing is answered, connections break.
  config.on_fatal_end = [] { std::raise(SIGKILL); };
  EventLoop loop;
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(server, standins::KeyServer::start(loop, config));
        loop.onSignal(SIGUSR1, [&server = server] { server->startDraining([] {}); });
        standins::runUntilSignalled(loop, config.listen);
        return EXIT_SUCCESS;
      },
      [] { return EXIT_FAILURE; });
}
