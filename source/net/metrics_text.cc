#include "source/net/metrics_text.h"

#include <prometheus/text_serializer.h>

namespace shedlever {

std::string metricsText(const prometheus::Collectable& registry) {
  return prometheus::TextSerializer().Serialize(registry.Collect());
}

}  // namespace shedlever
