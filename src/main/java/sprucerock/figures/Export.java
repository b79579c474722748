package sprucerock.figures;

import io.prometheus.metrics.exporter.httpserver.HTTPServer;
import io.prometheus.metrics.model.registry.MultiCollector;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.CounterSnapshot;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.Labels;
import io.prometheus.metrics.model.snapshots.MetricSnapshots;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import sprucerock.ledger.Accounts;
import sprucerock.ledger.Sheet;

/**
 * Serves a relay's figures to a monitor, in Prometheus text or OpenMetrics. A scrape is made of one snapshot, so that sums
 * hold within it; it runs on the server's threads and never holds the relay up.
 */
public final class Export implements MultiCollector, AutoCloseable {
    private static final String PREFIX = "sprucerock_";

    private final Supplier<Snapshot> snapshots;
    private final BooleanSupplier drifting;
    private final HTTPServer server;

    /** @throws IOException if the address can't be had */
    public Export(Supplier<Snapshot> snapshots, BooleanSupplier drifting, InetSocketAddress at) throws IOException {
        this.snapshots = snapshots;
        this.drifting = drifting;
        PrometheusRegistry registry = new PrometheusRegistry();
        registry.register(this);
        server = HTTPServer.builder().inetAddress(at.getAddress()).port(at.getPort()).registry(registry).buildAndStart();
    }

    public int port() {
        return server.getPort();
    }

    @Override
    public MetricSnapshots collect() {
        Snapshot snapshot = snapshots.get();
        Accounts accounts;
        try {
            accounts = snapshot.accounts();
        } catch (Snapshot.BadFileException e) {
            throw new IllegalStateException(e.getMessage());
        }
        MetricSnapshots.Builder all = MetricSnapshots.builder();
        for (Sheet sheet : accounts.sheets()) add(all, sheet, accounts, snapshot.values);
        all.metricSnapshot(gauge("generation", "Starts of this relay under one file of figures.", snapshot.generation));
        all.metricSnapshot(gauge("figures_drift", "1 from the moment on that a sum did not hold.", drifting.getAsBoolean() ? 1 : 0));
        return all.build();
    }

    private static GaugeSnapshot gauge(String name, String help, double value) {
        return GaugeSnapshot.builder().name(PREFIX + name).help(help)
            .dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().value(value).build()).build();
    }

    private static void add(MetricSnapshots.Builder all, Sheet sheet, Accounts accounts, long[] values) {
        String total = sheet.columns().get(0);
        String pending = sheet.columns().get(sheet.pending());
        CounterSnapshot.Builder begun = CounterSnapshot.builder().name(PREFIX + sheet.name() + "_" + total)
            .help("All " + sheet.name() + "; the sum of ended and " + pending + ".");
        CounterSnapshot.Builder ended = CounterSnapshot.builder().name(PREFIX + sheet.name() + "_ended")
            .help("Of these, ended, by how.");
        GaugeSnapshot.Builder out = GaugeSnapshot.builder().name(PREFIX + sheet.name() + "_" + pending).help("Of these, not over yet.");
        for (int row = 0; row < sheet.rows(); row++) {
            if (values[sheet.index(row, 0)] == 0) continue;
            Labels labels = sheet.rows() == 1 ? Labels.EMPTY : Labels.of(sheet.by(), accounts.name(sheet, row));
            begun.dataPoint(counter(labels, values[sheet.index(row, 0)]));
            for (int column = 1; column < sheet.pending(); column++) {
                ended.dataPoint(counter(labels.add("how", sheet.columns().get(column)), values[sheet.index(row, column)]));
            }
            out.dataPoint(GaugeSnapshot.GaugeDataPointSnapshot.builder().labels(labels).value(values[sheet.index(row, sheet.pending())])
                .build());
        }
        all.metricSnapshot(begun.build()).metricSnapshot(ended.build()).metricSnapshot(out.build());
    }

    private static CounterSnapshot.CounterDataPointSnapshot counter(Labels labels, double value) {
        return CounterSnapshot.CounterDataPointSnapshot.builder().labels(labels).value(value).build();
    }

    @Override
    public void close() {
        server.close();
    }
}
