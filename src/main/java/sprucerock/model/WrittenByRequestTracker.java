package sprucerock.model;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Marks a method that writes a fact of an RPC, attempt, endpoint or build. Only the request tracker
 * calls it, so that each fact has one writer; a test of the architecture checks that.
 */
@Retention(RetentionPolicy.CLASS)
@Target(ElementType.METHOD)
public @interface WrittenByRequestTracker {}
