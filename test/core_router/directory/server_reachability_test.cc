/// @file
/// Guards against requests that wait for a server which accepts no connections, and against one that stays silent after
/// it has answered a probe.

#include "source/core/router/directory/server_reachability.h"

#include <gtest/gtest.h>

namespace shedlever::test {
namespace {

TEST(ServerReachabilityTest, TwoFailedConnectionsInARowMakeTheServerSilent) {
  ServerReachability server;
  EXPECT_FALSE(server.onConnectionFailed());
  server.onResponse();
  EXPECT_FALSE(server.onConnectionFailed());
  EXPECT_TRUE(server.onConnectionFailed());
  EXPECT_TRUE(server.silent());
  EXPECT_FALSE(server.onConnectionFailed()) << "it is silent already";
}

TEST(ServerReachabilityTest, SilentServerIsProbedOneProbeAtATimeUntilItAnswers) {
  ServerReachability server;
  EXPECT_FALSE(server.startProbe());
  server.onConnectionFailed();
  server.onConnectionFailed();
  EXPECT_TRUE(server.startProbe());
  EXPECT_FALSE(server.startProbe());
  server.onProbeEnded(false);
  EXPECT_TRUE(server.silent());
  EXPECT_TRUE(server.startProbe());
  server.onProbeEnded(true);
  EXPECT_FALSE(server.silent());
  EXPECT_FALSE(server.onConnectionFailed());
}

}  // namespace
}  // namespace shedlever::test
