package org.wagtailpin.benchmark.experiment;

import java.awt.Color;
import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.CategoryPlot;
import org.jfree.chart.plot.CombinedDomainCategoryPlot;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;

/** Bar charts of the 99th percentile of short work and of the goodput, by phase and version. */
final class ResultPlot {

  private static final int WIDTH_PIXELS = 1000;
  private static final int HEIGHT_PIXELS = 800;

  private ResultPlot() {}

  static void write(Results results, Path file) throws IOException {
    DefaultCategoryDataset latency = new DefaultCategoryDataset();
    DefaultCategoryDataset goodput = new DefaultCategoryDataset();
    for (ResultRow row : results.rows()) {
      latency.addValue(row.shortP99Millis(), row.version(), row.phase());
      goodput.addValue(row.inTimePerSecond(), row.version(), row.phase());
    }
    CategoryPlot upper = plot("p99 of short work, ms", latency);
    CategoryPlot lower = plot("answered in time, calls/s", goodput);
    CombinedDomainCategoryPlot both = new CombinedDomainCategoryPlot(upper.getDomainAxis());
    both.add(upper);
    both.add(lower);
    JFreeChart chart = new JFreeChart(results.name(), both);
    chart.setBackgroundPaint(Color.WHITE);
    File target = file.toFile();
    ChartUtils.saveChartAsPNG(target, chart, WIDTH_PIXELS, HEIGHT_PIXELS);
  }

  private static CategoryPlot plot(String label, DefaultCategoryDataset data) {
    return ChartFactory.createBarChart(
            null, "phase", label, data, PlotOrientation.VERTICAL, true, false, false)
        .getCategoryPlot();
  }
}
