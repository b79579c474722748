package sprucerock.controller.server;

import static org.testng.Assert.expectThrows;

import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.List;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.compat.Corpus;
import sprucerock.compat.Rendering;
import sprucerock.config.ConfigException;
import sprucerock.controller.RolloutRules;

/**
 * Tests that the values read from controller configurations, and the errors, equal the recorded
 * ones.
 */
public class ControllerSettingsCompatTest {
  private static final String SETTINGS = "settings/";
  private static final String FOLDER = "FOLDER";

  private Path folder;

  @BeforeMethod
  public void createFolder() throws Exception {
    folder = Files.createTempDirectory("controller");
    Corpus.secret(
        folder.resolve("ci.secret"),
        "whsec_MDEyMzQ1Njc4OWFiY2RlZjAxMjM=\nwhsec_YWJjZGVmZ2hpamtsbW5vcA==\n");
    Corpus.secret(folder.resolve("hub.secret"), "a secret in plain text\n");
    Corpus.secret(folder.resolve("api.token"), "0123456789abcdef0123\n");
    Corpus.secret(folder.resolve("short.token"), "0123456789\n");
    Corpus.secret(folder.resolve("text.secret"), "whsec_no base64!\n");
    Corpus.secret(folder.resolve("empty.secret"), "\n");
    Files.writeString(folder.resolve("open.token"), "0123456789abcdef0123\n");
    Files.setPosixFilePermissions(
        folder.resolve("open.token"), PosixFilePermissions.fromString("rw-r--r--"));
  }

  @AfterMethod
  public void deleteFolder() throws Exception {
    try (var files = Files.list(folder)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
    }
    Files.delete(folder);
  }

  private Path writeConfig(String text) throws Exception {
    return Files.writeString(
        folder.resolve("controller.xml"), text.replace(FOLDER, folder.toString()));
  }

  @DataProvider
  public Object[][] documents() {
    return new Object[][] {{"controller-every"}, {"controller-least"}, {"controller-usual"}};
  }

  @Test(dataProvider = "documents")
  public void settingsAreReadAsRecorded(String name) throws Exception {
    ControllerConfig config =
        ControllerConfig.read(writeConfig(Corpus.input(SETTINGS + name + ".xml")));
    Corpus.holds(SETTINGS + name + ".txt", render(config));
  }

  private static String render(ControllerConfig config) {
    Rendering text = new Rendering();
    text.put("name", config.name)
        .put("folder", config.storeFolder)
        .put("first-build", config.firstBuild)
        .put("places", config.endpointCount)
        .put("lease", config.leaseDuration);
    text.put("relays.at", config.relayAddress)
        .put("relays.most", config.maxRelays)
        .put("relays.unsent", config.maxUnsentBytes)
        .put("relays.tell-every", config.statusInterval);
    renderWebhooks(text, config);
    text.put("api.at", config.apiAddress)
        .put("api.token", config.apiToken)
        .putLeases("leases", config.leaseConfig);
    for (int i = 0; i < config.outboxTargets.size(); i++) {
      WebhookOutbox.Target target = config.outboxTargets.get(i);
      text.put("tell." + target.name() + ".url", target.url())
          .put("tell." + target.name() + ".secret", hex(target.secret()));
      text.put("tell." + target.name() + ".give-up", target.retryTimeout().toMillis());
    }
    renderAgents(text, config);
    renderRules(text, config.rolloutRules);
    renderRacks(text, config);
    return text.toString();
  }

  private static String hex(byte[] bytes) {
    return HexFormat.of().formatHex(bytes);
  }

  private static void renderWebhooks(Rendering text, ControllerConfig config) {
    text.put("hooks.at", config.webhookAddress)
        .put("hooks.body", config.maxWebhookBodyBytes)
        .put("hooks.window", config.signatureTimeTolerance)
        .put("hooks.at-once", config.maxConcurrentWebhooks);
    text.put("hooks.read-within", config.webhookReadTimeout);
    config.webhookSources.forEach(
        (name, source) -> {
          text.put("source." + name + ".name", source.name())
              .put("source." + name + ".form", schemeName(source.scheme()))
              .put("source." + name + ".a-second", source.maxPerSecond());
          text.put(
              "source." + name + ".secrets",
              source.secrets().stream().map(ControllerSettingsCompatTest::hex).toList());
        });
  }

  private static String schemeName(Signatures.SignatureScheme scheme) {
    return switch (scheme) {
      case STANDARD -> "standard";
      case GITHUB -> "github";
    };
  }

  private static void renderAgents(Rendering text, ControllerConfig config) {
    text.put("agents.at", config.agentAddress)
        .put("agents.most", config.maxAgents)
        .put("agents.pieces-a-second", config.maxPiecesPerSecond);
    text.put("agents.incoming", config.incomingFolder)
        .put("agents.most-bytes", config.maxArtifactBytes);
    for (int i = 0; i < config.deploymentPlan.stages().size(); i++) {
      text.put("change-stage." + i + ".share", config.deploymentPlan.stages().get(i).share())
          .put("change-stage." + i + ".harm", config.deploymentPlan.stages().get(i).maxLoss());
    }
    text.put("agents.watch", config.deploymentPlan.observationTime())
        .put("agents.patience", config.deploymentPlan.progressDeadline())
        .put("agents.ready-within", config.deploymentPlan.readyWithin());
    text.put("agents.out", config.deploymentPlan.maxUnavailableShare())
        .put("agents.refused", config.deploymentPlan.maxRejectedShare())
        .put("agents.silent", config.deploymentPlan.unreachableAfter());
  }

  private static void renderRules(Rendering text, RolloutRules rules) {
    for (int i = 0; i < rules.stages().size(); i++) {
      text.put("stage." + i + ".share", rules.stages().get(i).share())
          .put("stage." + i + ".cap", rules.stages().get(i).exposureCap());
    }
    text.put("votes.control", controlName(rules.control()))
        .put("votes.on", rules.votesToAdvance())
        .put("votes.hold", rules.votesToPause())
        .put("votes.back", rules.votesToRollBack());
    text.put("votes.life", rules.voteValidity())
        .put("votes.least", rules.minStageTime())
        .put("votes.step", rules.clockedStageTime())
        .put("votes.start-within", rules.startTimeout());
    text.put("votes.going-back", rules.rollbackTime())
        .put("votes.watch", rules.observationTime())
        .put("votes.a-second", rules.maxVotesPerSecond());
  }

  private static String controlName(RolloutRules.Control control) {
    return switch (control) {
      case SINGLE -> "single";
      case MAJORITY -> "majority";
      case CLOCKED -> "clocked";
    };
  }

  private static void renderRacks(Rendering text, ControllerConfig config) {
    if (config.capacityCheck == null) {
      text.put("racks", (Object) null);
      return;
    }
    config
        .capacityCheck
        .racks()
        .forEach(
            (name, rack) -> {
              text.put("rack." + name + ".zone", rack.zone())
                  .put("rack." + name + ".cell", rack.cell())
                  .put("rack." + name + ".units", rack.endpointsByFamily());
              text.put("rack." + name + ".notice", rack.noticeMs());
            });
    text.put("racks.warm", config.maintenanceRules.warmUpMs())
        .put("racks.step", config.maintenanceRules.delayStepMs())
        .put("racks.confidence", config.maintenanceRules.confidence());
  }

  @Test
  public void invalidSettingsGiveRecordedErrors() throws Exception {
    StringBuilder text = new StringBuilder();
    String valid = Corpus.input(SETTINGS + "controller-every.xml");
    for (String line : Corpus.inputLines(SETTINGS + "controller-wrong.txt")) {
      List<String> parts = Arrays.asList(line.split(" => ", 2));
      Path file = writeConfig(Corpus.replaced(valid, parts.get(0), parts.get(1)));
      String message =
          expectThrows(ConfigException.class, () -> ControllerConfig.read(file)).getMessage();
      text.append(message.replace(folder.toString(), FOLDER)).append('\n');
    }
    Corpus.holds(SETTINGS + "controller-wrong-errors.txt", text.toString());
  }
}
