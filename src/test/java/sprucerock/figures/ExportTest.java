package sprucerock.figures;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicBoolean;
import org.testng.annotations.Test;
import sprucerock.ledger.Accounts;
import sprucerock.time.Span;

/** What a monitor reads: sums hold within each scrape, whatever the relay does meanwhile. */
public class ExportTest {
    private static Map<String, Double> scrape(HttpClient http, int port, String accept) throws Exception {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/metrics")).header("Accept", accept).build();
        HttpResponse<String> answer = http.send(request, HttpResponse.BodyHandlers.ofString());
        assertEquals(answer.statusCode(), 200, answer.body());
        Map<String, Double> found = new HashMap<>();
        for (String line : answer.body().split("\n")) {
            if (!line.startsWith("#")) found.put(line.substring(0, line.lastIndexOf(' ')), Double.parseDouble(line.substring(line.lastIndexOf(' '))));
        }
        return found;
    }

    @Test
    public void everyScrapeBalancesBesideARelayThatNeverRests() throws Exception {
        Accounts accounts = new Accounts(List.of("read", "pay"), Accounts.Room.NONE);
        Keeper keeper = Keeper.open(null, accounts, () -> { }, line -> { });
        AtomicBoolean drift = new AtomicBoolean();
        AtomicBoolean over = new AtomicBoolean();
        Thread relay = new Thread(() -> {
            for (int i = 0; !over.get(); i++) {
                int method = i & 1;
                accounts.rpcArrived(method, 0);
                if (i % 3 == 1) accounts.rpcAnswered(method, 0, Span.ofMs(i % 1000 * 0.1), i % 2 == 0, true);
                if (i % 3 == 2) accounts.rpcEnded(method, 0, 2 + i % 3);
                accounts.commit();
                for (int j = 0; j < 200; j++) Thread.onSpinWait();
            }
        });
        try (Export export = new Export(keeper::snapshot, drift::get, keeper::kept, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))) {
            relay.start();
            HttpClient http = HttpClient.newHttpClient();
            double last = 0;
            for (int i = 0; i < 100; i++) {
                Map<String, Double> found = scrape(http, export.port(), i % 2 == 0 ? "text/plain" : "application/openmetrics-text; version=1.0.0");
                double taken = 0;
                for (String method : new String[] {"read", "pay"}) {
                    Double total = found.get("sprucerock_rpcs_taken_total{method=\"" + method + "\"}");
                    if (total == null) continue;
                    double parts = found.get("sprucerock_rpcs_open{method=\"" + method + "\"}");
                    for (String how : new String[] {"ok", "pushed_back", "aborted", "left", "lost"}) {
                        parts += found.get("sprucerock_rpcs_ended_total{how=\"" + how + "\",method=\"" + method + "\"}");
                    }
                    assertEquals(parts, total);
                    taken += total;
                }
                assertTrue(taken >= last);
                last = taken;
                assertEquals(found.get("sprucerock_figures_drift"), 0.0);
            }
            assertTrue(last > 0);
            drift.set(true);
            assertEquals(scrape(http, export.port(), "text/plain").get("sprucerock_figures_drift"), 1.0);
        } finally {
            over.set(true);
            relay.join();
        }
    }
}
