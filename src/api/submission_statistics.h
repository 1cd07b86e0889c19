// Statistics of the latency and the outcomes of job submissions, for the log. Owned by `HttpApi`.
#pragma once

#include <boost/histogram.hpp>
#include <cstdint>

namespace deckhall {

class SubmissionStatistics {
 public:
  SubmissionStatistics();

  // Counts a submission that was answered with this HTTP status after `latency_s` seconds.
  void Record(int status, double latency_s);
  // Logs the submissions since the last call, if there were any, and resets the statistics.
  void LogAndReset();

 private:
  using LatencyAxis =
      boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
  using Histogram = decltype(boost::histogram::make_histogram(LatencyAxis(1, 1.0, 2.0)));

  // The latency in milliseconds within which this fraction of the submissions was answered, rounded
  // up to the upper bound of its histogram bin.
  double LatencyPercentile(double fraction) const;

  Histogram latency_ms_;
  uint64_t answered_ = 0;
  uint64_t refused_ = 0;  // answered with a status other than 2xx
};

}  // namespace deckhall
