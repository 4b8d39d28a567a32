/** Experiments from files: levels or phases of load, their runs, claims, tables and charts. */
package shelffront.lab.experiment;
