package org.yuccajunction

import com.tngtech.archunit.core.domain.JavaClasses
import com.tngtech.archunit.core.importer.ClassFileImporter
import com.tngtech.archunit.core.importer.ImportOption
import com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses
import kotlin.test.Test

class ArchitectureTest {
    @Test
    fun `the core performs no network or file access`() {
        noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "io.ktor..", "io.grpc..")
            .check(classes)
    }

    @Test
    fun `the core creates no threads, executors or timers`() {
        noClasses()
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.concurrent\\.(Executor.*|.*Executor|Timer)")
            .check(classes)
    }

    @Test
    fun `the core does not read the system clock`() {
        noClasses().should().callMethod(System::class.java, "nanoTime").check(classes)
        noClasses().should().callMethod(System::class.java, "currentTimeMillis").check(classes)
    }

    @Test
    fun `no package outside control depends on the blackboard and the controllers`() {
        noClasses()
            .that()
            .resideOutsideOfPackage("org.yuccajunction.control..")
            .should()
            .dependOnClassesThat()
            .resideInAPackage("org.yuccajunction.control..")
            .check(classes)
    }

    private companion object {
        val classes: JavaClasses =
            ClassFileImporter()
                .withImportOption(ImportOption.DoNotIncludeTests())
                .importPackages("org.yuccajunction")
    }
}
