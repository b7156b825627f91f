package org.hyssopport.testkit;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.Architectures.layeredArchitecture;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ImportOption.DoNotIncludeTests;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/**
 * Checks that modules depend on each other in one direction only, that the engine uses neither I/O
 * nor {@code java.util.concurrent}, and that the oracle does not use the code that it checks.
 */
@AnalyzeClasses(packages = "org.hyssopport", importOptions = DoNotIncludeTests.class)
class ModuleDependencyTests {

  @ArchTest
  void layersDependInOneDirection(JavaClasses classes) {
    ArchRule rule =
        layeredArchitecture()
            .consideringOnlyDependenciesInLayers()
            .layer("policy")
            .definedBy("org.hyssopport.policy..")
            .layer("engine")
            .definedBy("org.hyssopport.engine..")
            .layer("protocol")
            .definedBy("org.hyssopport.protocol..")
            .layer("platform")
            .definedBy("org.hyssopport.platform..")
            .layer("launcher")
            .definedBy("org.hyssopport.launcher..")
            .layer("console")
            .definedBy("org.hyssopport.console..")
            .layer("testkit")
            .definedBy("org.hyssopport.testkit..")
            .whereLayer("testkit")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("console")
            .mayNotBeAccessedByAnyLayer()
            .whereLayer("launcher")
            .mayOnlyBeAccessedByLayers("console")
            .whereLayer("platform")
            .mayOnlyBeAccessedByLayers("launcher", "console")
            .whereLayer("protocol")
            .mayOnlyBeAccessedByLayers("launcher", "testkit")
            .whereLayer("engine")
            .mayOnlyBeAccessedByLayers("protocol", "platform", "launcher", "console", "testkit");
    rule.check(classes);
  }

  @ArchTest
  void engineDoesNoInputOrOutput(JavaClasses classes) {
    ArchRule rule =
        noClasses()
            .that()
            .resideInAPackage("org.hyssopport.engine..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "java.io..", "java.net..", "java.nio.file..", "java.util.concurrent..");
    rule.check(classes);
  }

  @ArchTest
  void oracleIsIndependentOfWhatItChecks(JavaClasses classes) {
    ArchRule rule =
        noClasses()
            .that()
            .resideInAPackage("org.hyssopport.testkit.oracle..")
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                "org.hyssopport.engine..",
                "org.hyssopport.policy..",
                "org.hyssopport.testkit.cell..");
    rule.check(classes);
  }
}
