/** Change tickets and the objects they set: organisations, keys, services and routes. */
package org.coltsfootproxy.config;
