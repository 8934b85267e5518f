#include "shedlever/server_health.h"

namespace shedlever {

const char* toString(ServerHealth health) {
  switch (health) {
    case ServerHealth::Unknown:
      return "unknown";
    case ServerHealth::Serving:
      return "serving";
    case ServerHealth::NotServing:
      return "not-serving";
  }
  return "unknown";
}

}  // namespace shedlever
