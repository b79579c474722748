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
import sprucerock.model.ByLedger;

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
      {"host", "time model"},
      {"evidence", "time stats model"},
      {"ledger", "time model host"},
      {"settings", "time model"},
      {"sim", "time model host ledger settings ."},
      {"pg", ""},
      {"http", "time net"},
      {"serving", "time model host ledger net"},
      {"platform", "time stats model host ledger config settings net pg http serving"},
      {"net", "time"},
      {"net.nio", "time net"},
      {"tls", "time stats net"},
      {"wire", "time stats net wire.v1"},
      {"config", "time model wire tls"},
      {"figures", "ledger"},
      {"lease", "time stats config net wire wire.v1"},
      {"looks", "time"},
      {"hardware", ""},
      {"freeze", "hardware"},
      {"shared", "time"},
      {
        "relay",
        "time stats model host ledger serving config lease looks shared hardware net tls wire wire.v1"
      },
      {"trace", "time net net.nio wire wire.v1"},
      {"judge", "time trace wire wire.v1"},
      {"compare", ""},
      {"change", "time"},
      {"controller", "time change compare freeze hardware controller.v1"},
      {"versions", ""},
      {"agent", "time model stats ledger figures change config net net.nio versions wire wire.v1"},
      {
        "desk",
        "time lease freeze net net.nio config change compare versions controller controller.v1 wire wire.v1"
      },
      {"standin", "time stats lease net tls trace wire wire.v1"},
      {"lab.slope", ""},
      {"lab.plot", "lab.slope"},
      {"recovery", "trace wire wire.v1"},
      {
        "lab",
        "time stats model host ledger serving config relay agent change versions lease net net.nio wire wire.v1"
      },
      {
        "rehearsal",
        "time net net.nio tls trace judge recovery figures ledger desk standin wire wire.v1"
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
        .areAnnotatedWith(ByLedger.class)
        .should()
        .onlyBeCalled()
        .byClassesThat()
        .resideInAnyPackage("sprucerock.ledger", "sprucerock.model")
        .check(ALL);
  }

  @Test
  public void whatDecidesOpensNothingAndReadsNoClock() {
    for (String room : new String[] {"model", "stats", "evidence", "ledger", "host", "time"}) {
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
        .haveFullyQualifiedName("sprucerock.controller.Releases")
        .or()
        .haveFullyQualifiedName("sprucerock.controller.Release")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io", "java.net", "java.nio..", "java.util.concurrent..", "sprucerock.net..")
        .check(ALL);
    for (String core :
        new String[] {
          "lease.Granter",
          "lease.Candidate",
          "lease.Guard",
          "lease.Fence",
          "lease.Terms",
          "lease.Grant",
          "looks.Lookout",
          "hardware.Fit",
          "hardware.Seen",
          "hardware.Tally",
          "hardware.Translation",
          "freeze.Freezes",
          "freeze.Freeze",
          "freeze.Headroom"
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
              "sprucerock.net..",
              "sprucerock.wire..",
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
    noClasses()
        .that()
        .haveFullyQualifiedName("sprucerock.Policy")
        .should()
        .dependOnClassesThat()
        .resideInAnyPackage(
            "java.io",
            "java.net",
            "java.nio..",
            "sprucerock.net..",
            "sprucerock.relay..",
            "sprucerock.sim..")
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
        .resideInAnyPackage("sprucerock.relay", "sprucerock.net..", "sprucerock.wire")
        .and()
        .arePublic()
        .should()
        .haveModifier(JavaModifier.STATIC)
        .check(ALL);
  }
}
