package sprucerock.model;

import java.lang.annotation.ElementType;
import java.lang.annotation.Retention;
import java.lang.annotation.RetentionPolicy;
import java.lang.annotation.Target;

/**
 * Writes a fact of an RPC, pick, unit or build: only the ledger calls it, so that each fact has one
 * writer.
 */
@Retention(RetentionPolicy.CLASS)
@Target(ElementType.METHOD)
public @interface WrittenByRequestTracker {}
