package sprucerock;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.methods;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;
import sprucerock.model.WrittenByRequestTracker;

/** The arrows of docs/architecture.md, and the one writer of each fact. */
public class ArchitectureTest {
  private static final JavaClasses ALL =
      new ClassFileImporter()
          .withImportOption(new ImportOption.DoNotIncludeTests())
          .importPackages("sprucerock");

  @DataProvider
  public Object[][] rooms() {
    return new Object[][] {
      {"time", ""},
      {"stats", "time"},
      {"model", "time stats"},
      {"policy", "time stats model policy.evidence"},
      {"policy.evidence", "time stats model"},
      {"accounting", "time model policy"},
      {"config.settings", "time model"},
      {"simulation", "time model policy accounting config.settings ."},
      {"transport.postgres", ""},
      {"transport.http", "time transport.net"},
      {"relay.engine", "time model policy accounting transport.net"},
      {
        "relay.platform",
        "time stats model policy accounting config config.settings transport.net transport.postgres transport.http relay.engine"
      },
      {"transport.net", "time"},
      {"transport.net.nio", "time transport.net"},
      {"transport.tls", "time stats transport.net"},
      {"transport.wire", "time stats transport.net transport.wire.v1"},
      {"config", "time model transport.wire transport.tls"},
      {"metrics", "accounting"},
      {"lease", "time stats config transport.net transport.wire transport.wire.v1"},
      {"relay.healthcheck", "time"},
      {"hardware", ""},
      {"controller.maintenance", "hardware"},
      {"relay.snapshot", "time"},
      {
        "relay.frames",
        "time stats model policy accounting relay.engine config lease relay.healthcheck relay.snapshot hardware transport.net transport.tls transport.wire transport.wire.v1"
      },
      {"rehearsal.trace", "time transport.net transport.net.nio transport.wire transport.wire.v1"},
      {"rehearsal.invariant", "time rehearsal.trace transport.wire transport.wire.v1"},
      {"controller.comparison", ""},
      {"controller.deployment", "time"},
      {
        "controller",
        "time controller.deployment controller.comparison controller.maintenance hardware controller.v1"
      },
      {"agent.artifact", ""},
      {
        "agent",
        "time model stats accounting metrics controller.deployment config transport.net transport.net.nio agent.artifact transport.wire transport.wire.v1"
      },
      {
        "controller.server",
        "time lease controller.maintenance transport.net transport.net.nio config controller.deployment controller.comparison agent.artifact controller controller.v1 transport.wire transport.wire.v1"
      },
      {
        "rehearsal.fake",
        "time stats lease transport.net transport.tls rehearsal.trace transport.wire transport.wire.v1"
      },
      {"lab.slope", ""},
      {"lab.plot", "lab.slope"},
      {"rehearsal.recovery", "rehearsal.trace transport.wire transport.wire.v1"},
      {
        "lab",
        "time stats model policy accounting relay.engine config relay.frames agent controller.deployment agent.artifact lease transport.net transport.net.nio transport.wire transport.wire.v1"
      },
      {
        "rehearsal.scenario",
        "time transport.net transport.net.nio transport.tls rehearsal.trace rehearsal.invariant rehearsal.recovery metrics accounting controller.server rehearsal.fake transport.wire transport.wire.v1"
      },
    };
  }

  @Test(dataProvider = "rooms")
  public void aRoomUsesOnlyWhatStandsBelowIt(String room, String mayUse) {
    String own = "sprucerock." + room;
    java.util.Set<String> allowed = new java.util.HashSet<>(java.util.Set.of(own));
    for (String one : mayUse.split(" ")) {
      allowed.add(one.equals(".") ? "sprucerock" : "sprucerock." + one);
    }
    noClasses()
        .that()
        .resideInAPackage(own)
        .should()
        .dependOnClassesThat(
            com.tngtech.archunit.base.DescribedPredicate.describe(
                "other rooms than " + mayUse,
                other ->
                    other.getPackageName().startsWith("sprucerock")
                        && !allowed.contains(other.getPackageName())))
        .check(ALL);
  }

  @Test
  public void theLabMeasuresAndNothingButTheCommandsDependsOnIt() {
    noClasses()
        .that()
        .resideOutsideOfPackages("sprucerock.lab", "sprucerock.cli")
        .should()
        .dependOnClassesThat()
        .resideInAPackage("sprucerock.lab")
        .check(ALL);
  }

  @Test
  public void onlyTheLedgerWritesFacts() {
    methods()
        .that()
        .areAnnotatedWith(WrittenByRequestTracker.class)
        .should()
        .onlyBeCalled()
        .byClassesThat()
        .resideInAnyPackage("sprucerock.accounting", "sprucerock.model")
        .check(ALL);
  }

  @Test
  public void whatDecidesOpensNothingAndReadsNoClock() {
    for (String room :
        new String[] {"model", "stats", "policy.evidence", "accounting", "policy", "time"}) {
      noClasses()
          .that()
          .resideInAPackage("sprucerock." + room)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.io", "java.net", "java.nio..", "java.util.concurrent..")
          .check(ALL);
      noClasses()
          .that()
          .resideInAPackage("sprucerock." + room)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .check(ALL);
    }
    noClasses()
        .that()
        .haveNameMatching(
            "sprucerock\\.controller\\.(Rollout|RolloutManager|RolloutCommands|RolloutBlockers|BallotBox|DeliveryLog|StageClock|StateMachine)")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io",
            "java.net",
            "java.nio..",
            "java.util.concurrent..",
            "sprucerock.transport.net..")
        .check(ALL);
    for (String core :
        new String[] {
          "lease.LeaseGrantor",
          "lease.LeaseClient",
          "lease.LeaseCheck",
          "lease.FencingTokenRegistry",
          "lease.LeaseTerms",
          "lease.Grant",
          "relay.healthcheck.HealthCheckScheduler",
          "hardware.LeastSquaresFit",
          "hardware.Observation",
          "hardware.SampleSums",
          "hardware.CapacityTranslator",
          "controller.maintenance.MaintenanceWindows",
          "controller.maintenance.MaintenanceWindow",
          "controller.maintenance.CapacityCheck",
          "lease.LeaseRound",
          "hardware.FitData",
          "hardware.ConcurrencyEstimator",
          "hardware.RunningMoments",
          "controller.maintenance.WindowIndex",
          "controller.maintenance.WindowLifecycle",
          "controller.maintenance.CapacityPlanner"
        }) {
      noClasses()
          .that()
          .haveFullyQualifiedName("sprucerock." + core)
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage(
              "java.io",
              "java.net",
              "java.nio..",
              "java.util.concurrent..",
              "sprucerock.transport.net..",
              "sprucerock.transport.wire..",
              "sprucerock.config..")
          .check(ALL);
      noClasses()
          .that()
          .haveFullyQualifiedName("sprucerock." + core)
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .check(ALL);
    }
    noClasses()
        .that()
        .resideInAPackage("sprucerock.lab.slope")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io", "java.net", "java.nio..", "java.util.concurrent..", "java.awt..")
        .check(ALL);
  }

  @Test
  public void policyReachesNoTransportAndNoHost() {
    noClasses()
        .that()
        .resideInAPackage("sprucerock.policy..")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io",
            "java.net",
            "java.nio..",
            "sprucerock.transport.net..",
            "sprucerock.relay.frames..",
            "sprucerock.simulation..")
        .check(ALL);
  }

  /** Each start of serve is paid for: what only plots and fits need is never on its way. */
  @Test
  public void serveReachesNothingOfTheLab() {
    noClasses()
        .that()
        .haveFullyQualifiedName("sprucerock.cli.ServeCommand")
        .should()
        .transitivelyDependOnClassesThat()
        .resideInAnyPackage("sprucerock.lab..", "org.knowm..", "org.hipparchus.stat..")
        .check(ALL);
  }

  @Test
  public void theRelayKeepsNoPublicFields() {
    fields()
        .that()
        .areDeclaredInClassesThat()
        .resideInAnyPackage(
            "sprucerock.relay.frames", "sprucerock.transport.net..", "sprucerock.transport.wire")
        .and()
        .arePublic()
        .should()
        .haveModifier(JavaModifier.STATIC)
        .check(ALL);
  }
}
