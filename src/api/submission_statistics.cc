#include "api/submission_statistics.h"

#include <spdlog/spdlog.h>

#include "net/http_status.h"

namespace deckhall {
namespace {

constexpr unsigned kLatencyBins = 40;
constexpr double kMinLatencyMilliseconds = 0.5;
constexpr double kMaxLatencyMilliseconds = 10000.0;
constexpr double kMillisecondsPerSecond = 1000;
constexpr double kMedian = 0.5;
constexpr double kHighPercentile = 0.97;

}  // namespace

SubmissionStatistics::SubmissionStatistics()
    : latency_ms_(boost::histogram::make_histogram(
          LatencyAxis(kLatencyBins, kMinLatencyMilliseconds, kMaxLatencyMilliseconds))) {}

void SubmissionStatistics::Record(int status, double latency_s) {
  ++answered_;
  if (status >= http_status::kFirstUnsuccessful) ++refused_;
  // The logarithmic axis has no bin for 0.
  latency_ms_(latency_s * kMillisecondsPerSecond + kMinLatencyMilliseconds);
}

double SubmissionStatistics::LatencyPercentile(double fraction) const {
  const double target_count = fraction * static_cast<double>(answered_);
  double cumulative_count = 0;
  for (auto&& bin : boost::histogram::indexed(latency_ms_, boost::histogram::coverage::all)) {
    cumulative_count += *bin;
    if (cumulative_count >= target_count) return bin.bin().upper();
  }
  return 0;
}

void SubmissionStatistics::LogAndReset() {
  if (answered_ == 0) return;
  spdlog::info("submissions: answered={} refused={} p50_ms={:.0f} p97_ms={:.0f}", answered_,
               refused_, LatencyPercentile(kMedian), LatencyPercentile(kHighPercentile));
  latency_ms_.reset();
  answered_ = refused_ = 0;
}

}  // namespace deckhall
