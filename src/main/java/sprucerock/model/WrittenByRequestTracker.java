package sprucerock.model;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a method that writes tracked state of an RPC, attempt, endpoint or build. Only the request
 * tracker may call such a method, so that this state has a single writer; {@code ArchitectureTest}
 * checks this.
 */
@Retention(RetentionPolicy.CLASS)
@Target(ElementType.METHOD)
public @interface WrittenByRequestTracker {}
