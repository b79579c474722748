/**
 * Programs and settings stored under the SHA-256 of their bytes, at agents and controllers alike.
 *
 * <p>The package owns the files of its folder: each is complete under its digest, or not there. It
 * knows nothing of versions, deployments or the wire, and depends on no other package.
 */
package sprucerock.agent.artifact;
