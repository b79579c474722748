package sprucerock.rehearsal.scenario;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import sprucerock.rehearsal.fake.FakeTls;
import sprucerock.rehearsal.fake.Site;
import sprucerock.time.TimeSpan;

/** Writes a relay's configuration for a day. */
final class RelayXml {
  private RelayXml() {}

  static void write(
      Path file,
      ScenarioParser day,
      int number,
      int port,
      int figures,
      int roster,
      int desk,
      Map<Integer, Integer> peers,
      String leases)
      throws IOException {
    Path kept = file.resolveSibling("relay-" + number + ".figures").toAbsolutePath();
    Files.writeString(
        file,
        text(
            day,
            "" + number,
            "" + (day.seed * 1000 + number),
            "" + port,
            kept.toString(),
            "" + figures,
            roster,
            "" + desk,
            peers,
            leases,
            file.resolveSibling("tls").toAbsolutePath()));
  }

  /**
   * The same for all relays, with places for what is each one's own; each has itself among the
   * peers.
   */
  static String template(ScenarioParser day, int roster, Map<Integer, Integer> peers) {
    return text(
        day,
        "${number}",
        "${seed}",
        "${port}",
        "${figures}",
        "${scraped}",
        roster,
        "${desk}",
        peers,
        "",
        Path.of("tls"));
  }

  private static String text(
      ScenarioParser day,
      String number,
      String seed,
      String port,
      String kept,
      String figures,
      int roster,
      String desk,
      Map<Integer, Integer> peers,
      String leases,
      Path tls) {
    StringBuilder xml = new StringBuilder("<?xml version=\"1.0\" encoding=\"UTF-8\"?>\n");
    xml.append(
        String.format(
            Locale.ROOT,
            "<relay xmlns=\"urn:sprucerock:relay:1\" name=\"relay-%s\" number=\"%s\" seed=\"%s\">%n",
            number,
            number,
            seed));
    xml.append(address("listen", port, ""))
        .append(address("roster", "" + roster, ""))
        .append(address("desk", desk, ""));
    peers.forEach(
        (other, at) ->
            xml.append(
                address(
                    "peer",
                    "" + at,
                    " number=\"" + other + "\" name=\"" + FakeTls.relayName(other) + "\"")));
    xml.append(
        "  <limits/>\n  <connections/>\n  <figures file=\""
            + kept
            + "\" host=\"127.0.0.1\" port=\""
            + figures
            + "\"/>\n");
    if (day.tls) {
      xml.append(
          String.format(
              Locale.ROOT,
              "  <tls trust=\"%s\" key=\"%s\" peers=\"%b\" clients=\"%s\" look-every=\"%s\" move-within=\"%s\" "
                  + "handshakes-a-second=\"%d\"/>%n",
              tls.resolve("trust.pem"),
              tls.resolve("relay-" + number + ".pem"),
              day.tlsEveryone,
              day.tlsEveryone ? "proven" : "plain",
              span(day.tlsLook),
              span(day.tlsMove),
              day.handshakesASecond));
    }
    xml.append(leases);
    xml.append(
        String.format(
            Locale.ROOT,
            "  <site relays=\"%d\" tick=\"%s\" ask=\"%b\">%n",
            day.relays,
            span(day.tick),
            day.ask));
    for (Site.Method method : day.methods) {
      String effect = method.effect().name().toLowerCase(Locale.ROOT).replace('_', '-');
      String window =
          method.effect() == Site.Effect.TOKENED ? " window=\"" + span(method.window()) + "\"" : "";
      xml.append(
          String.format(
              Locale.ROOT,
              "    <method name=\"%s\" effect=\"%s\" soft-deadline=\"%s\" deadline=\"%s\" utility=\"%s\"%s/>%n",
              method.name(),
              effect,
              span(method.soft()),
              span(method.deadline()),
              method.utility(),
              window));
    }
    for (Site.Customer tenant : day.tenants) {
      xml.append(
          "    <customer name=\"" + tenant.name() + "\" share=\"" + tenant.share() + "\"/>\n");
    }
    for (Site.Stage stage : day.stages) {
      xml.append("    <stage cap=\"" + stage.cap() + "\"/>\n");
    }
    xml.append(
        String.format(
            Locale.ROOT,
            "    <rules drain-grace=\"%s\" cold=\"%s\" start-capacity=\"%s\" tip-multiple=\"%s\" "
                + "tip-after=\"%s\" counted-over=\"%s\" free-picks=\"%s\" cap-by-method=\"%b\" guarded-stages=\"%d\" one-way-keys=\"%b\"/>%n",
            span(day.drainGrace),
            span(day.cold.lasts()),
            day.cold.from(),
            day.cold.tipMultiple(),
            span(day.cold.tipAfter()),
            span(day.countedOver),
            day.free,
            day.byMethod,
            day.guarded,
            day.oneWay));
    xml.append(
        String.format(
            Locale.ROOT,
            "    <allowed picks=\"%d\" second-copies=\"%b\" cancel=\"%b\" peers=\"%b\" "
                + "retry-after=\"%b\" most-retry-after=\"%s\"/>%n",
            day.attempts,
            day.secondCopies,
            day.cancel,
            day.peers,
            day.retryAfter,
            span(day.mostRetryAfter)));
    xml.append(
        String.format(
            Locale.ROOT,
            "    <votes control=\"%s\" life=\"%s\" answer-within=\"%s\"%s/>%n",
            day.control.name().toLowerCase(Locale.ROOT),
            span(day.voteLife),
            span(day.answerWithin),
            day.countsEvery.over(TimeSpan.ZERO)
                ? " counts-every=\"" + span(day.countsEvery) + "\""
                : ""));
    xml.append("  </site>\n</relay>\n");
    return xml.toString();
  }

  private static String address(String name, String port, String more) {
    return "  <" + name + " host=\"127.0.0.1\" port=\"" + port + "\"" + more + "/>\n";
  }

  private static String span(TimeSpan span) {
    return new java.math.BigDecimal(String.valueOf(span.ms())).stripTrailingZeros().toPlainString()
        + "ms";
  }
}
