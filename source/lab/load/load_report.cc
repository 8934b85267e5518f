#include "source/lab/load/load_report.h"

#include <array>
#include <nlohmann/json.hpp>
#include <sstream>

namespace shedlever::load {

namespace {

struct NamedQuantile {
  const char* name;
  double fraction;
};

constexpr std::array<NamedQuantile, 4> kQuantiles = {{{"p50", 0.5}, {"p90", 0.9}, {"p99", 0.99}, {"p99.9", 0.999}}};

constexpr std::array kOutcomes = {CallerOutcome::Answered, CallerOutcome::NotRun, CallerOutcome::Unknown,
                                  CallerOutcome::NoReply, CallerOutcome::NotSent};

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

const char* faultWord(ResponseFault fault) {
  switch (fault) {
    case ResponseFault::None:
      return "";
    case ResponseFault::Wrong:
      return "wrong";
    case ResponseFault::Truncated:
      return "cut";
  }
  return "";
}

}  // namespace

LoadReport makeReport(const std::vector<RequestRecord>& records, Duration slow_threshold) {
  LoadReport report;
  UnavailabilityMeter meter(slow_threshold);
  for (const RequestRecord& record : records) {
    report.tally.add(record);
    meter.add(record);
  }
  report.unavailable = meter.total();
  report.unavailable_keys = meter.perKey().size();
  return report;
}

std::string reportText(const LoadReport& report) {
  std::ostringstream text;
  text << "requests " << report.tally.total() << "\n";
  for (const CallerOutcome outcome : kOutcomes) {
    text << "  " << toString(outcome) << " " << report.tally.count(outcome) << "\n";
  }
  for (const auto& [reason, count] : report.tally.byReason()) {
    text << "    " << reason << " " << count << "\n";
  }
  text << "latency of answered requests since due time, ms:";
  for (const NamedQuantile& quantile : kQuantiles) {
    text << " " << quantile.name << " " << milliseconds(report.tally.latency().quantile(quantile.fraction));
  }
  text << " max " << milliseconds(report.tally.latency().max()) << "\n";
  text << "unavailable keys " << report.unavailable_keys << "; longest of one key, ms: at least "
       << milliseconds(report.unavailable.longest_lower_bound) << ", at most "
       << milliseconds(report.unavailable.longest_upper_bound) << "; sum over keys, ms: at least "
       << milliseconds(report.unavailable.total_lower_bound) << ", at most "
       << milliseconds(report.unavailable.total_upper_bound) << "\n";
  text << "wrong responses " << report.tally.wrong() << ", truncated responses " << report.tally.truncated() << "\n";
  return text.str();
}

std::string reportJson(const LoadConfig& config, const LoadReport& report) {
  nlohmann::json json;
  json["seed"] = config.seed;
  json["rate"] = config.rate;
  json["seconds"] = milliseconds(config.duration) / 1000.0;
  json["requests"] = report.tally.total();
  for (const CallerOutcome outcome : kOutcomes) {
    json["outcomes"][toString(outcome)] = report.tally.count(outcome);
  }
  json["reasons"] = report.tally.byReason();
  for (const NamedQuantile& quantile : kQuantiles) {
    json["latency_ms"][quantile.name] = milliseconds(report.tally.latency().quantile(quantile.fraction));
  }
  json["latency_ms"]["max"] = milliseconds(report.tally.latency().max());
  json["unavailable"] = {{"keys", report.unavailable_keys},
                         {"longest_proved_ms", milliseconds(report.unavailable.longest_lower_bound)},
                         {"longest_at_most_ms", milliseconds(report.unavailable.longest_upper_bound)},
                         {"sum_proved_ms", milliseconds(report.unavailable.total_lower_bound)},
                         {"sum_at_most_ms", milliseconds(report.unavailable.total_upper_bound)}};
  json["wrong"] = report.tally.wrong();
  json["cut"] = report.tally.truncated();
  constexpr int kIndent = 2;
  return json.dump(kIndent) + "\n";
}

std::string recordsCsv(const LoadConfig& config, const std::vector<RequestRecord>& records) {
  std::ostringstream csv;
  csv << "sequence,service,tenant,gateway,key,idempotency_key,request_id,outcome,reason,http_status,fault,due_us,"
         "sent_us,ended_us\n";
  for (const RequestRecord& record : records) {
    csv << record.sequence << "," << config.services[record.service].name.value << ","
        << config.tenants[record.tenant].name.value << "," << toString(config.gateways[record.gateway]) << ","
        << record.key << "," << record.idempotency_key.value << "," << record.id.value << ","
        << toString(record.outcome) << "," << record.reason << "," << record.http_status << ","
        << faultWord(record.fault) << "," << record.due.count() << "," << record.sent.count() << ","
        << record.ended.count() << "\n";
  }
  return csv.str();
}

}  // namespace shedlever::load
