/// @file
/// Program `standin-metadata`: the platform's store in the soak.

#include <boost/program_options.hpp>
#include <cstdlib>
#include <iostream>
#include <string>

#include "standins/router/metadata_server.h"
#include "standins/standin_process.h"

int main(int argc, char** argv) {
  namespace options = boost::program_options;
  using namespace shedlever;
  std::string listen;
  std::uint64_t seed = 1;
  options::options_description flags("standin-metadata: objects with revisions and watches");
  flags.add_options()("help", "this text")("listen", options::value(&listen)->default_value("127.0.0.1:0"), "IP:PORT")(
      "seed", options::value(&seed), "seed of the random faults");
  options::variables_map values;
  options::store(options::parse_command_line(argc, argv, flags), values);
  options::notify(values);
  const std::optional<Endpoint> endpoint = standins::parseEndpoint(listen);
  if (values.contains("help") || !endpoint) {
    std::cout << flags;
    return EXIT_FAILURE;
  }
  EventLoop loop;
  return leaf::try_handle_all(
      [&]() -> leaf::result<int> {
        BOOST_LEAF_AUTO(server, standins::MetadataServer::listen(loop, *endpoint, seed));
        standins::runUntilSignalled(loop, server->endpoint());
        return EXIT_SUCCESS;
      },
      [] { return EXIT_FAILURE; });
}
