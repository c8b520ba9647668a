#include "runtime/metrics_page.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>
#include <unistd.h>

#include <chrono>
#include <fstream>
#include <utility>
#include <vector>

namespace parsleyline::runtime {

struct MetricsPage::Impl {
  struct Metric {
    std::string name;
    std::string help;
    prometheus::MetricType type;
    std::vector<prometheus::ClientMetric::Label> labels;
    std::function<double()> read_value;
  };
  std::vector<Metric> metrics;
};

MetricsPage::MetricsPage() : impl_(std::make_unique<Impl>()) {}
MetricsPage::~MetricsPage() = default;

void MetricsPage::AddCounter(const std::string& name, const std::string& help,
                             std::function<double()> read) {
  impl_->metrics.push_back({name, help, prometheus::MetricType::Counter, {}, std::move(read)});
}

void MetricsPage::AddGauge(const std::string& name, const std::string& help,
                           std::function<double()> read) {
  impl_->metrics.push_back({name, help, prometheus::MetricType::Gauge, {}, std::move(read)});
}

void MetricsPage::AddGauge(const std::string& name, const std::string& help,
                           const std::string& label, const std::string& label_value,
                           std::function<double()> read) {
  impl_->metrics.push_back(
      {name, help, prometheus::MetricType::Gauge, {{label, label_value}}, std::move(read)});
}

std::string MetricsPage::Render() const {
  std::vector<prometheus::MetricFamily> families;
  for (const Impl::Metric& metric : impl_->metrics) {
    prometheus::ClientMetric value;
    value.label = metric.labels;
    const double number = metric.read_value();
    value.counter.value = number;
    value.gauge.value = number;
    if (!families.empty() && families.back().name == metric.name) {
      families.back().metric.push_back(value);
      continue;
    }
    families.push_back({metric.name, metric.help, metric.type, {value}});
  }
  return prometheus::TextSerializer().Serialize(families);
}

void AddProcessMetrics(MetricsPage* page) {
  page->AddGauge("process_resident_memory_bytes", "Resident memory of the process.", [] {
    std::ifstream file("/proc/self/statm");
    std::uint64_t total_pages = 0;
    std::uint64_t resident_pages = 0;
    file >> total_pages >> resident_pages;
    return static_cast<double>(resident_pages) * static_cast<double>(sysconf(_SC_PAGESIZE));
  });
  const auto start = std::chrono::system_clock::now().time_since_epoch();
  const double seconds = std::chrono::duration<double>(start).count();
  page->AddGauge("process_start_time_seconds", "Start of the process in seconds since 1970.",
                 [seconds] { return seconds; });
}

}  // namespace parsleyline::runtime
