package lemondock.gateway;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Dependency rules that the compiler does not enforce: which packages may depend on each other, and
 * that clocks, threads and sockets are reached only through the interfaces of {@code
 * lemondock.net}.
 */
@AnalyzeClasses(packages = "lemondock", importOptions = ImportOption.DoNotIncludeTests.class)
class ArchitectureTest {
  @ArchTest
  static final ArchRule GATEWAY_USES_NO_CLOCK_AND_NO_SOCKET_OF_ITS_OWN =
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
  static final ArchRule ONLY_THE_FILE_ENDPOINT_LIST_STARTS_A_THREAD =
      noClasses()
          .that()
          .resideInAPackage("lemondock.gateway..")
          .and()
          .haveSimpleNameNotStartingWith("FileEndpointList")
          .should()
          .dependOnClassesThat()
          .areAssignableTo(Thread.class);

  @ArchTest
  static final ArchRule POLICY_DEPENDS_ON_ITSELF_AND_THE_JDK_ONLY =
      classes()
          .that()
          .resideInAPackage("lemondock.policy..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage("lemondock.policy..", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule ANOMALY_AND_OVERLOAD_DEPEND_ON_THEMSELVES_AND_THE_JDK_ONLY =
      classes()
          .that()
          .resideInAnyPackage("lemondock.anomaly..", "lemondock.overload..")
          .should()
          .onlyDependOnClassesThat()
          .resideInAnyPackage(
              "lemondock.anomaly..", "lemondock.overload..", "java.lang..", "java.util..");

  @ArchTest
  static final ArchRule DECISION_AND_METRICS_MODULES_READ_NO_CLOCK =
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
  static final ArchRule IDEMPOTENCY_STORE_DOES_NO_IO =
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
  static final ArchRule CODECS_AND_TIMER_WHEEL_DO_NO_IO =
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
  static final ArchRule NET_DOES_NOT_DEPEND_ON_THE_GATEWAY =
      noClasses()
          .that()
          .resideInAPackage("lemondock.net..")
          .should()
          .dependOnClassesThat()
          .resideInAnyPackage("lemondock.gateway..", "lemondock.policy..", "lemondock.rpc..");
}
