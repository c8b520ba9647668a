#pragma once

#include <functional>
#include <memory>
#include <string>

namespace parsleyline::runtime {

/// Metrics of a process in the Prometheus text format, as served by GET /metrics. The values are
/// read from callbacks when the page is rendered. Metrics of the same name must be added one after
/// the other.
class MetricsPage {
 public:
  MetricsPage();
  ~MetricsPage();

  /// Adds a counter. Its name ends in _total, after its unit if it has one.
  void AddCounter(const std::string& name, const std::string& help, std::function<double()> read);
  /// Adds a gauge without labels.
  void AddGauge(const std::string& name, const std::string& help, std::function<double()> read);
  /// Adds a gauge with one constant label.
  void AddGauge(const std::string& name, const std::string& help, const std::string& label,
                const std::string& label_value, std::function<double()> read);

  /// Reads all values and returns the text of the page.
  std::string Render() const;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

/// Adds the memory usage and the start time of this process.
void AddProcessMetrics(MetricsPage* page);

}  // namespace parsleyline::runtime
