package lemondock.gateway;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Walls that the compiler does not see: time, threads and sockets come through the ports of {@code
 * net} alone.
 */
@AnalyzeClasses(packages = "lemondock", importOptions = ImportOption.DoNotIncludeTests.class)
class WallsTest {
  @ArchTest
  static final ArchRule THE_GATEWAY_HAS_NO_CLOCK_AND_NO_SOCKET =
      noClasses()
          .that()
          .resideInAPackage("lemondock.gateway..")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis")
          .orShould()
          .dependOnClassesThat()
          .resideInAnyPackage("java.nio.channels..", "lemondock.net.nio..")
          .orShould()
          .dependOnClassesThat()
          .haveFullyQualifiedName("java.net.Socket");

  @ArchTest
  static final ArchRule ONLY_THE_FILE_LIST_HAS_A_THREAD =
      noClasses()
          .that()
          .resideInAPackage("lemondock.gateway..")
          .and()
          .haveSimpleNameNotStartingWith("FileList")
          .should()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);

  @ArchTest
  static final ArchRule THE_MODULE_KNOWS_NOTHING_ELSE =
      classes()
          .that()
          .resideInAPackage("lemondock.policy..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("lemondock.policy..", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule DECIDING_MODULES_KNOW_NOTHING_ELSE =
      classes()
          .that()
          .resideInAnyPackage("lemondock.anomaly..", "lemondock.overload..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "lemondock.anomaly..", "lemondock.overload..", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule DECIDING_MODULES_AND_REPORTS_HAVE_NO_CLOCK =
      noClasses()
          .that()
          .resideInAnyPackage(
              "lemondock.anomaly..",
              "lemondock.overload..",
              "lemondock.metrics..",
              "lemondock.exporter..",
              "lemondock.idempotency..")
          .should()
          .callMethod(System.class, "nanoTime")
          .orShould()
          .callMethod(System.class, "currentTimeMillis");

  @ArchTest
  static final ArchRule THE_IDEMPOTENCY_STORE_DOES_NO_IO =
      noClasses()
          .that()
          .haveSimpleNameStartingWith("IdempotencyStore")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..");

  @ArchTest
  static final ArchRule ENCODERS_DO_NO_IO =
      noClasses()
          .that()
          .resideInAnyPackage("lemondock.exporter.graphite..", "lemondock.metrics..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..");

  @ArchTest
  static final ArchRule CODECS_AND_WHEEL_DO_NO_IO =
      noClasses()
          .that()
          .resideInAnyPackage(
              "lemondock.net.sse..",
              "lemondock.net.time..",
              "lemondock.rpc..",
              "lemondock.gateway.answer..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..");

  @ArchTest
  static final ArchRule THE_NETWORK_KNOWS_NO_GATEWAY =
      noClasses()
          .that()
          .resideInAPackage("lemondock.net..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("lemondock.gateway..", "lemondock.policy..", "lemondock.rpc..");
}
